/**
 * Estimate of how often spot machines are taken, per machine-hour: what was seen, with older experience
 * fading, on top of a prior worth one machine-hour.
 */
export class HazardEstimate {
  private events = 0;
  private hours = 0;

  constructor(
    private readonly priorPerHour: number,
    private readonly memoryHours = 1,
  ) {}

  /** `machines` spot machines were watched for `seconds`. */
  observe(machines: number, seconds: number): void {
    const hours = (machines * seconds) / 3600;
    const keep = Math.exp(-hours / this.memoryHours);
    this.events *= keep;
    this.hours = this.hours * keep + hours;
  }

  taken(): void {
    this.events += 1;
  }

  perHour(): number {
    return (this.events + this.priorPerHour) / (this.hours + 1);
  }

  perStep(stepS: number): number {
    return (this.perHour() * stepS) / 3600;
  }
}

/**
 * Estimate of how often spot machines are taken, per machine-hour: what was seen, with older experience
 * fading, on top of a prior worth one machine-hour.
 */
export class SpotHazardEstimate {
  private interruptions = 0;
  private machineHours = 0;

  constructor(
    private readonly priorPerHour: number,
    private readonly decayHours = 1,
  ) {}

  /** `machines` spot machines were watched for `seconds`. */
  observe(machines: number, seconds: number): void {
    const hours = (machines * seconds) / 3600;
    const decay = Math.exp(-hours / this.decayHours);
    this.interruptions *= decay;
    this.machineHours = this.machineHours * decay + hours;
  }

  recordInterruption(): void {
    this.interruptions += 1;
  }

  perHour(): number {
    return (this.interruptions + this.priorPerHour) / (this.machineHours + 1);
  }

  perStep(stepS: number): number {
    return (this.perHour() * stepS) / 3600;
  }
}

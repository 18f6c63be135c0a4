/** Estimate of the interruption rate of spot machines. */

/**
 * How often spot machines are interrupted, per machine-hour: what was observed, with older observations decaying
 * exponentially, on top of a prior that weighs as much as one machine-hour.
 */
export class SpotHazardEstimate {
  private interruptions = 0;
  private machineHours = 0;

  constructor(
    private readonly priorPerHour: number,
    private readonly decayHours = 1,
  ) {}

  /** Records that `machines` spot machines were observed for `seconds`. */
  observe(machines: number, seconds: number): void {
    const hours = (machines * seconds) / 3600;
    const decay = Math.exp(-hours / this.decayHours);
    this.interruptions *= decay;
    this.machineHours = this.machineHours * decay + hours;
  }

  /** Records that one spot machine was interrupted. */
  recordInterruption(): void {
    this.interruptions += 1;
  }

  /** Expected interruptions per machine-hour. */
  perHour(): number {
    return (this.interruptions + this.priorPerHour) / (this.machineHours + 1);
  }

  /** Expected interruptions of a machine within a step of `stepS` seconds. */
  perStep(stepS: number): number {
    return (this.perHour() * stepS) / 3600;
  }
}

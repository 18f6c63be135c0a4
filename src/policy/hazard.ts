/** Estimation of the interruption rate of spot machines. */

/**
 * Estimates the interruptions of spot machines per machine-hour from observations, which decay exponentially, and a prior
 * with the weight of one machine-hour.
 */
export class SpotHazardEstimate {
  private interruptions = 0;
  private machineHours = 0;

  constructor(
    private readonly priorPerHour: number,
    private readonly decayHours = 1,
  ) {}

  /** Records that `machines` spot machines were observed for `seconds` seconds. */
  observe(machines: number, seconds: number): void {
    const hours = (machines * seconds) / 3600;
    const decay = Math.exp(-hours / this.decayHours);
    this.interruptions *= decay;
    this.machineHours = this.machineHours * decay + hours;
  }

  /** Records the interruption of one spot machine. */
  recordInterruption(): void {
    this.interruptions += 1;
  }

  /** The expected number of interruptions per machine-hour. */
  perHour(): number {
    return (this.interruptions + this.priorPerHour) / (this.machineHours + 1);
  }

  /** The expected number of interruptions of one machine within a step of `stepS` seconds. */
  perStep(stepS: number): number {
    return (this.perHour() * stepS) / 3600;
  }
}

/** Admission in a flood, on the scripted world: `npm run measure -- flood`. Figures are simulated. */
import { Flood, flooding } from './flood.js';
import { thisProgram, World, type Program } from './world.js';

export function flood(say: (text: string) => void, programs: Program[] = [thisProgram]): void {
  for (const program of programs) {
    const w = new World(3, { 'idle-boots': 1000, 'fair-admission': 1 });
    for (const n of w.nodes) {
      n.program = program;
      n.boot();
    }
    w.state.writesPerS = 30;
    w.capacity = 10;
    for (const n of w.nodes) n.settings.state.write_rps = 30;
    w.play(6);
    const refused = w.state.refused;
    const commits = w.commits.length;
    const users = new Flood(w, flooding);
    for (const x of w.workers.values()) x.runS = 5;
    w.play(60);
    const during = users.jobs.filter((j) => j.acceptedAt > 0).length;
    w.play(70);
    say(`${program.name}: 40 jobs a second of one class for 60 s, 30 writes a second (simulated)`);
    for (const name of ['flood', 'class', 'team']) {
      const f = users.of(name);
      say(
        `  ${name.padEnd(6)} ${f.jobs} jobs: ${(100 * f.quick).toFixed(0)}% accepted within 1 s, ${(100 * f.accepted).toFixed(0)}% at all (p95 ${f.p95} ms), ${(100 * f.run).toFixed(0)}% have run`,
      );
    }
    const all = w.commits.length - commits;
    const bad = w.state.refused - refused;
    say(
      `  ${(during / 60).toFixed(1)} accepted a second; ${bad} of ${all} commits refused (${((100 * bad) / all).toFixed(1)}%)`,
    );
    say(`  answers: ${[...users.answers].map(([s, n]) => `${s}: ${n}`).join(', ')}`);
  }
}

/** The shell script that the agent runs each command with. */

/**
 * Runs a command and records its exit code on disk, so that it is known even if the agent is not running at that time.
 * Arguments: the directory of the start, which belongs to this run of the shim alone, then the command. Only the process that
 * creates the directory `claim` may decide whether the command runs. A restarted agent that does not know whether the command
 * was started tries to create it, and so does an agent that forgets the task; if that succeeds, the shim never runs the
 * command. The shim writes its PID right before it runs the command: without it, the command has not run. Signals to the process group reach the command, but do not end the shim, so that it can
 * record the exit code.
 */
export const shim = `
d=$1; shift
mkdir "$d/claim" 2>/dev/null || exit 1
trap : TERM INT HUP
echo $$ > "$d/pid.part" && mv "$d/pid.part" "$d/pid"
"$@"
c=$?
echo $c > "$d/exit.part" && mv "$d/exit.part" "$d/exit"
exit $c
`;

/** The shell script between the agent and a command. */

/**
 * Records the end of a command on disk, so that it is known even if the agent does not run at that time. Arguments: the
 * task's directory, then the command. Creating the directory `claim` decides, once, whether the command runs: an agent that
 * is restarted and does not know creates it itself, and then the command never runs. Signals to the process group reach the
 * command; the shim ignores them, to write its exit code.
 */
export const shim = `
d=$1; shift
mkdir "$d/claim" 2>/dev/null || exit 0
trap : TERM INT HUP
echo $$ > "$d/pid.part" && mv "$d/pid.part" "$d/pid"
"$@"
c=$?
echo $c > "$d/exit.part" && mv "$d/exit.part" "$d/exit"
exit $c
`;

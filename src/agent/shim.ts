/**
 * Stands between the agent and a command, so that the command's end is on disk also when the agent is not there to see it.
 * Arguments: the task's directory, then the command. Making the directory `claim` decides, once and for all, that it runs:
 * an agent that comes back and does not know makes it itself, and then it never will. Signals to the group reach the
 * command; the shim outlives them to write its exit code.
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

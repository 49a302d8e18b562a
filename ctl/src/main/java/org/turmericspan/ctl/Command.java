package org.turmericspan.ctl;

import net.sourceforge.argparse4j.inf.Namespace;

/** Action of one subcommand. */
@FunctionalInterface
interface Command {
    /** Key of the selected command in the parsed arguments. */
    String KEY = "command";

    /**
     * Runs the command.
     *
     * @param arguments the parsed command line
     * @param output receives results and diagnostics
     * @return exit code of the process
     */
    ExitCode run(Namespace arguments, Output output);
}

package org.turmericspan.standins.fleet;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the fleet, started on the class path of this one. It is ended by its own id and no other. */
public final class ChildProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 20;
    private static final String HEAP = "-Xmx128m";
    /** Lines of a log that a diagnosis shows; enough for a stack trace and what led to it. */
    private static final int DIAGNOSIS_LINES = 40;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;

    private ChildProcess(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    /**
     * Plans a Java process without starting it.
     *
     * @param name name of its log file
     * @param mainClass class with the main method
     * @param arguments the command line
     * @return the planned process
     */
    public static ChildProcess planned(String name, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=" + System.getProperty("turmericspan.tier", "4"),
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        return new ChildProcess(name, command, logFile(name));
    }

    /** Ends every process that this one has started, for use in a shutdown hook. */
    public static void endAll() {
        ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
    }

    /** Starts the process, or starts it again with the same command line after it has ended. */
    public void start() {
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process runs.
     *
     * @return false after it has ended
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns how the process ended.
     *
     * @return its exit code
     */
    public int exitCode() {
        return process.exitValue();
    }

    /**
     * Describes the process for the message of a failed test.
     *
     * @return whether it runs or how it ended, and the last lines of its log
     */
    public String diagnosis() {
        String state = process.isAlive() ? "runs" : "ended with code " + process.exitValue();
        try {
            List<String> lines = Files.readAllLines(log);
            List<String> last = lines.subList(Math.max(0, lines.size() - DIAGNOSIS_LINES), lines.size());
            return name + " " + state + ", its log ends:\n" + String.join("\n", last);
        } catch (IOException e) {
            return name + " " + state + ", its log cannot be read: " + e;
        }
    }

    /** Asks the process to stop as planned, and waits until it has. */
    public void stop() {
        process.destroy();
        await();
    }

    /** Asks the process to stop as planned, and does not wait. */
    public void askToStop() {
        process.destroy();
    }

    /** Ends the process without notice. */
    public void kill() {
        process.destroyForcibly();
        await();
    }

    /** Freezes the process where it stands. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() {
        signal("-CONT");
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            thaw();
            process.destroyForcibly();
            await();
        }
    }

    @Override
    public String toString() {
        return name;
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void await() {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Path logFile(String name) {
        try {
            Path folder = Files.createDirectories(Path.of("target", "fleet"));
            return folder.resolve(name + "-" + ProcessHandle.current().pid() + ".log");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

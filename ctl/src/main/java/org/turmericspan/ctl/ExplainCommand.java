package org.turmericspan.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Reconstructs the course of one request from the log lines of nodes. */
final class ExplainCommand {
    private static final String REQUEST = "request";
    private static final String FILES = "file";

    private ExplainCommand() {}

    static void register(Subparsers commands) {
        Subparser parser =
                commands.addParser("explain").help("show what happened to a request, from the log lines of nodes");
        parser.addArgument(REQUEST).metavar("ID").help("identifier of the request");
        parser.addArgument(FILES).metavar("FILE").nargs("+").help("file with the log lines of one or more nodes");
        parser.setDefault(Command.KEY, (Command) ExplainCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : arguments.<String>getList(FILES)) {
            read(Path.of(file), lines);
        }
        RequestTimeline timeline = RequestTimeline.of(arguments.getString(REQUEST), lines);
        if (!timeline.isFound()) {
            output.diagnostic("no log line mentions request " + arguments.getString(REQUEST)
                    + "; under heavy load, nodes drop the log lines of served requests first");
            return ExitCode.NEGATIVE;
        }
        timeline.text().forEach(output::line);
        return ExitCode.OK;
    }

    private static void read(Path file, List<LogLine> lines) {
        try (Stream<String> rawLines = Files.lines(file, StandardCharsets.UTF_8)) {
            rawLines.forEach(text -> LogLine.parse(text).ifPresent(lines::add));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

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

/** Tells the story of one request from the log lines of nodes. */
final class ExplainCommand {
    private static final String REQUEST = "request";
    private static final String FILES = "file";

    private ExplainCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("explain").help("tell what happened to a request, from nodes' log lines");
        parser.addArgument(REQUEST).metavar("ID").help("identifier of the request");
        parser.addArgument(FILES).metavar("FILE").nargs("+").help("standard output of one or more nodes");
        parser.setDefault(Command.KEY, (Command) ExplainCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<LogLine> lines = new ArrayList<>();
        for (String file : arguments.<String>getList(FILES)) {
            read(Path.of(file), lines);
        }
        RequestStory story = RequestStory.of(arguments.getString(REQUEST), lines);
        if (!story.isKnown()) {
            output.complain("no line speaks of request " + arguments.getString(REQUEST)
                    + "; lines of served requests are dropped first when there are many");
            return ExitCode.NO;
        }
        story.text().forEach(output::line);
        return ExitCode.OK;
    }

    private static void read(Path file, List<LogLine> lines) {
        try (Stream<String> texts = Files.lines(file, StandardCharsets.UTF_8)) {
            texts.forEach(text -> LogLine.parse(text).ifPresent(lines::add));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package org.turmericspan.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Validates a directory of YAML files and writes it as the JSON document to publish. */
final class BundleCommand {
    private static final String DIRECTORY = "directory";
    private static final String VERSION = "version";
    private static final String OUT = "out";

    private BundleCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("bundle")
                .help("validate a configuration and write it as the JSON document to publish");
        parser.addArgument(DIRECTORY).metavar("DIR").help("directory of YAML files");
        parser.addArgument("--" + VERSION)
                .metavar("N")
                .required(true)
                .type(CommonArguments.argumentType(BundleCommand::parseVersion))
                .help("version number of the document, higher than any published before");
        parser.addArgument("--" + OUT).metavar("FILE").help("file to write; default: standard output");
        parser.setDefault(Command.KEY, (Command) BundleCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        long version = arguments.getLong(VERSION);
        CheckedSet set = CheckedSet.read(Path.of(arguments.getString(DIRECTORY)), version);
        set.printDiagnostics(output);
        if (!set.isValid()) {
            return ExitCode.NEGATIVE;
        }
        String file = arguments.getString(OUT);
        if (file == null) {
            output.raw(set.document());
        } else {
            write(Path.of(file), set.document());
        }
        output.diagnostic("version " + version + ", digest " + set.digest() + ", " + set.objects() + " objects");
        return ExitCode.OK;
    }

    private static Long parseVersion(String text) {
        long version = Long.parseLong(text);
        if (version < 1) {
            throw new IllegalArgumentException("--version takes a whole number from 1");
        }
        return version;
    }

    private static void write(Path file, String document) {
        try {
            Files.writeString(file, document);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package org.turmericspan.node;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The command line, parsed but not yet validated.
 *
 * @param flags text of each setting given as a flag
 * @param unknown arguments that match no setting
 * @param checkOnly whether to validate the settings and exit
 */
record CommandLine(Map<Setting, String> flags, List<String> unknown, boolean checkOnly) {
    private static final String CHECK = "check";

    CommandLine {
        flags = Map.copyOf(flags);
        unknown = List.copyOf(unknown);
    }

    static CommandLine parse(String... arguments) throws ArgumentParserException {
        List<String> unknown = new ArrayList<>();
        Namespace parsed = parser().parseKnownArgs(arguments, unknown);
        Map<Setting, String> flags = new EnumMap<>(Setting.class);
        for (Setting setting : Setting.values()) {
            String text = parsed.getString(setting.parserKey());
            if (text != null) {
                flags.put(setting, text);
            }
        }
        return new CommandLine(flags, unknown, parsed.getBoolean(CHECK));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("turmericspan")
                .build()
                .description("A load balancer for servers whose load shifts in milliseconds. "
                        + "A flag overrides its environment variable.")
                .epilog("Exit codes: 0 stopped as planned or settings valid, 1 failed, 2 invalid settings.");
        for (Setting setting : Setting.values()) {
            parser.addArgument(setting.flag())
                    .dest(setting.parserKey())
                    .metavar("VALUE")
                    .help(help(setting));
        }
        parser.addArgument("--" + CHECK).action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }

    private static String help(Setting setting) {
        String unit = setting.type().unit();
        return setting.description() + "; takes " + setting.type().allowed()
                + (unit.isEmpty() ? "" : "; unit: " + unit)
                + (setting.isRequired() ? "; required" : "; default: " + setting.defaultValue())
                + "; variable: " + setting.environmentVariable();
    }
}

package org.turmericspan.node;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/** Reads settings from flags and environment variables. A flag goes before its variable. */
final class SettingsReader {
    private static final int MAX_THREADS = 64;
    private static final int MIN_KEY_LENGTH = 16;
    private static final String CHECK_FLAG = "check";

    private final Map<String, String> environment;
    private final List<String> faults = new ArrayList<>();
    private final Map<Setting, String> values = new EnumMap<>(Setting.class);

    SettingsReader(Map<String, String> environment) {
        this.environment = environment;
    }

    NodeSettings read(String... arguments) {
        Namespace flags = parse(arguments);
        for (Setting setting : Setting.values()) {
            values.put(setting, value(setting, flags));
        }
        NodeSettings settings = new NodeSettings(
                take(Setting.VM, VmId::new),
                take(Setting.AVAILABILITY_ZONE, AvailabilityZoneId::new),
                take(Setting.CALLER_ADDRESS, SocketAddress::parse),
                take(Setting.OPERATOR_ADDRESS, SocketAddress::parse),
                take(Setting.PEER_ADDRESS, SocketAddress::parse),
                take(Setting.PLATFORM_ADDRESS, SocketAddress::parse),
                take(Setting.DEPLOYMENT_KEY, SettingsReader::parseKey),
                threads());
        if (!faults.isEmpty()) {
            faults.forEach(System.err::println);
            throw new StopException(Main.usageExitCode());
        }
        if (flags.getBoolean(CHECK_FLAG)) {
            System.out.println("The settings are valid.");
            throw new StopException(0);
        }
        return settings;
    }

    private static Namespace parse(String... arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("turmericspan")
                .build()
                .defaultHelp(false)
                .description("A load balancer for servers whose load shifts in milliseconds.");
        for (Setting setting : Setting.values()) {
            parser.addArgument(setting.flag())
                    .dest(setting.destination())
                    .help(setting.description() + " (default: "
                            + (setting.defaultValue().isEmpty() ? "none" : setting.defaultValue()) + ", variable "
                            + setting.environmentVariable() + ")");
        }
        parser.addArgument("--" + CHECK_FLAG).action(Arguments.storeTrue()).help("check the settings and exit");
        try {
            return parser.parseArgs(arguments);
        } catch (HelpScreenException e) {
            throw new StopException(0);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            throw new StopException(Main.usageExitCode());
        }
    }

    private String value(Setting setting, Namespace flags) {
        String flag = flags.getString(setting.destination());
        return flag != null ? flag : environment.getOrDefault(setting.environmentVariable(), setting.defaultValue());
    }

    private <T> T take(Setting setting, Function<String, T> parse) {
        try {
            return parse.apply(values.get(setting));
        } catch (IllegalArgumentException e) {
            faults.add(ResultCode.INVALID_SETTING.number() + " " + setting.flag() + " is '" + values.get(setting)
                    + "': " + e.getMessage());
            return null;
        }
    }

    private int threads() {
        Integer threads = take(Setting.WORKER_THREADS, SettingsReader::parseThreads);
        return threads == null ? 1 : threads;
    }

    private static Integer parseThreads(String text) {
        if (!text.matches("[0-9]{1,2}") || Integer.parseInt(text) < 1 || Integer.parseInt(text) > MAX_THREADS) {
            throw new IllegalArgumentException("takes a whole number from 1 to " + MAX_THREADS);
        }
        return Integer.valueOf(text);
    }

    private static String parseKey(String text) {
        if (text.length() < MIN_KEY_LENGTH) {
            throw new IllegalArgumentException("takes " + MIN_KEY_LENGTH + " characters or more");
        }
        return text;
    }

    /** Says that the process must not run, and how it exits. */
    static final class StopException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final int exitCode;

        StopException(int exitCode) {
            this.exitCode = exitCode;
        }

        int exitCode() {
            return exitCode;
        }
    }
}

package org.turmericspan.ctl;

import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.turmericspan.ids.SocketAddress;

/** Arguments that several commands take. */
final class Flags {
    private static final String JSON = "json";
    private static final String ADDRESSES = "addresses";
    private static final String ADDRESS = "address";

    private Flags() {}

    static void addJson(ArgumentParser parser) {
        parser.addArgument("--" + JSON).action(Arguments.storeTrue()).help("write JSON, for scripts");
    }

    static boolean isJson(Namespace arguments) {
        return arguments.getBoolean(JSON);
    }

    static void addOperatorAddresses(ArgumentParser parser) {
        parser.addArgument(ADDRESSES)
                .metavar("ADDR")
                .nargs("+")
                .type(parsed(SocketAddress::parse))
                .help("operator address of a node, as IP:PORT");
    }

    static List<SocketAddress> addresses(Namespace arguments) {
        return arguments.getList(ADDRESSES);
    }

    static void addCallerAddress(ArgumentParser parser) {
        parser.addArgument(ADDRESS)
                .metavar("ADDR")
                .type(parsed(SocketAddress::parse))
                .help("caller address of a node, as IP:PORT");
    }

    static SocketAddress address(Namespace arguments) {
        return arguments.get(ADDRESS);
    }

    /** Turns a parse function into an argument type whose refusals are usage errors. */
    static <T> net.sourceforge.argparse4j.inf.ArgumentType<T> parsed(Function<String, T> parse) {
        return (ArgumentParser parser, Argument argument, String value) -> {
            try {
                return parse.apply(value);
            } catch (IllegalArgumentException e) {
                throw new ArgumentParserException(e.getMessage(), parser, argument);
            }
        };
    }
}

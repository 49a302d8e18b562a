package org.turmericspan.ctl;

import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.turmericspan.ids.SocketAddress;

/** Arguments that several commands share. */
final class CommonArguments {
    private static final String JSON = "json";
    private static final String ADDRESSES = "addresses";
    private static final String ADDRESS = "address";

    private CommonArguments() {}

    static void addJson(ArgumentParser parser) {
        parser.addArgument("--" + JSON).action(Arguments.storeTrue()).help("print the result as JSON");
    }

    static boolean isJson(Namespace arguments) {
        return arguments.getBoolean(JSON);
    }

    static void addOperatorAddresses(ArgumentParser parser) {
        parser.addArgument(ADDRESSES)
                .metavar("ADDR")
                .nargs("+")
                .type(argumentType(SocketAddress::parse))
                .help("operator address of a node, as IP:PORT");
    }

    static List<SocketAddress> addresses(Namespace arguments) {
        return arguments.getList(ADDRESSES);
    }

    static void addCallerAddress(ArgumentParser parser) {
        parser.addArgument(ADDRESS)
                .metavar("ADDR")
                .type(argumentType(SocketAddress::parse))
                .help("caller address of a node, as IP:PORT");
    }

    static SocketAddress address(Namespace arguments) {
        return arguments.get(ADDRESS);
    }

    /** Returns an argument type that reports an {@code IllegalArgumentException} of the parser as a usage error. */
    static <T> net.sourceforge.argparse4j.inf.ArgumentType<T> argumentType(Function<String, T> parse) {
        return (ArgumentParser parser, Argument argument, String value) -> {
            try {
                return parse.apply(value);
            } catch (IllegalArgumentException e) {
                throw new ArgumentParserException(e.getMessage(), parser, argument);
            }
        };
    }
}

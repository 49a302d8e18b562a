package org.turmericspan.standins.platform;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the platform stand-in. */
public final class PlatformMain {
    private PlatformMain() {}

    /**
     * Starts the platform stand-in.
     *
     * @param flags {@code --port N}
     */
    public static void start(String... flags) {
        ArgumentParser parser = ArgumentParsers.newFor("platform").build();
        parser.addArgument("--port").type(Integer.class).required(true);
        Namespace options = parser.parseArgsOrFail(flags);
        new PlatformServer(new ValueStore()).start(options.getInt("port"));
    }
}

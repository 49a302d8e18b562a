package org.turmericspan.entry;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/** Wires and starts a node. */
final class NodeLauncher {
    private NodeLauncher() {}

    static EntryNode launch(EntrySettings settings, SettingsFile file) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        EntryNode node = DaggerEntryComponent.factory().create(settings).node();
        node.start(file);
        Signals.onHangUp(node::reload);
        return node;
    }
}

package org.turmericspan.entry;

import io.netty.util.internal.logging.InternalLoggerFactory;
import org.turmericspan.transport.NettyLogFactory;

/** Creates and starts a node. */
final class NodeLauncher {
    private NodeLauncher() {}

    static EntryNode launch(EntrySettings settings, SettingsFile file) {
        EntryComponent component = DaggerEntryComponent.factory().create(settings);
        InternalLoggerFactory.setDefaultFactory(new NettyLogFactory(component.log()));
        EntryNode node = component.node();
        node.start(file);
        return node;
    }
}

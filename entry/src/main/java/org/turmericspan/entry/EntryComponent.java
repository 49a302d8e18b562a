package org.turmericspan.entry;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.turmericspan.events.EventLog;

/** Wires an entry node. */
@Singleton
@Component(modules = {BalancingModule.class, TransportModule.class})
interface EntryComponent {
    EntryNode node();

    EventLog log();

    /** Takes what the wiring cannot make itself. */
    @Component.Factory
    interface Factory {
        EntryComponent create(@BindsInstance EntrySettings settings);
    }
}

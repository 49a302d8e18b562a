package org.turmericspan.entry;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.turmericspan.events.EventLog;

/** Dagger component that creates an entry node. */
@Singleton
@Component(modules = {BalancingModule.class, TransportModule.class})
interface EntryComponent {
    EntryNode node();

    EventLog log();

    /** Creates the component from the settings, which Dagger cannot provide. */
    @Component.Factory
    interface Factory {
        EntryComponent create(@BindsInstance EntrySettings settings);
    }
}

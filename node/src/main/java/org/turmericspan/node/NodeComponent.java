package org.turmericspan.node;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;

/** Dagger component that builds a node from its settings. */
@Singleton
@Component(
        modules = {
            CoreModule.class,
            PeerModule.class,
            MembershipModule.class,
            ProbeModule.class,
            AttemptModule.class,
            SuspectModule.class,
            CallModule.class,
            SlotModule.class,
            RunModule.class,
            StateModule.class
        })
interface NodeComponent {
    /**
     * Returns the node.
     *
     * @return the one node of the component
     */
    Node node();

    /** Builds the component. */
    @Component.Builder
    interface Builder {
        /**
         * Sets the settings.
         *
         * @param settings validated settings
         * @return this builder
         */
        @BindsInstance
        Builder settings(NodeSettings settings);

        /**
         * Builds the component.
         *
         * @return the component
         */
        NodeComponent build();
    }
}

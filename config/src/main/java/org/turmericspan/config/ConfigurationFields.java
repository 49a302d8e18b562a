package org.turmericspan.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;

/** Describes the fields of each kind, as the checks themselves read them. */
public final class ConfigurationFields {
    private ConfigurationFields() {}

    /**
     * Describes the fields of a kind.
     *
     * @param kind the kind
     * @return its fields in the order in which they are read
     */
    public static List<FieldDescription> of(ObjectKind kind) {
        ObjectSource empty =
                new ObjectSource("", JsonNodeFactory.instance.objectNode().put("kind", kind.title()));
        return new ConfigurationAssembler(new FaultCollector()).read(empty).descriptions();
    }
}

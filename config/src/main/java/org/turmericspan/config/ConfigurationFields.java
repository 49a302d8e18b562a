package org.turmericspan.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;

/** Describes the fields of each object kind. The descriptions come from the code that validates the fields. */
public final class ConfigurationFields {
    private ConfigurationFields() {}

    /**
     * Describes the fields of an object kind.
     *
     * @param kind the object kind
     * @return its fields in the order in which they are read
     */
    public static List<FieldDescription> of(ObjectKind kind) {
        ObjectSource empty =
                new ObjectSource("", JsonNodeFactory.instance.objectNode().put("kind", kind.kindName()));
        return new ConfigurationAssembler(new FaultCollector())
                .readObject(empty)
                .descriptions();
    }
}

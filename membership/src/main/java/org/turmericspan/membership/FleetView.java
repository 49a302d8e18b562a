package org.turmericspan.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.turmericspan.ids.VmId;

/**
 * One version of the list of VMs that the platform publishes.
 *
 * @param revision revision of the list, which grows with each change on the platform; 0 when there is no list
 * @param vms the VMs by name
 */
public record FleetView(long revision, Map<VmId, Vm> vms) {
    /** The view of a node that has not accepted any list yet. */
    public static final FleetView EMPTY = new FleetView(0, Map.of());

    /** Makes an immutable copy of the map. */
    public FleetView {
        vms = Map.copyOf(vms);
    }

    /**
     * Builds a view from a list.
     *
     * @param revision revision of the list
     * @param vms the VMs
     * @return the view; of two VMs with the same name it contains the later one
     */
    public static FleetView of(long revision, List<Vm> vms) {
        return new FleetView(
                revision,
                vms.stream()
                        .collect(Collectors.toMap(
                                Vm::id, Function.identity(), (first, second) -> second, TreeMap::new)));
    }

    /**
     * Returns the entry VMs in the order of their names.
     *
     * @return the entry VMs, including those that are leaving
     */
    public List<Vm> entryVms() {
        return vms.values().stream()
                .filter(vm -> vm.role() == Vm.Role.ENTRY)
                .sorted(Comparator.comparing(Vm::id))
                .toList();
    }
}

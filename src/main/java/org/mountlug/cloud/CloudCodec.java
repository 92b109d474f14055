package org.mountlug.cloud;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;
import org.mountlug.core.scale.ListedMachine;
import org.mountlug.core.scale.RentalRequest;
import org.mountlug.wire.Fields;

/** The cloud's messages; the only place that knows their field names. */
public final class CloudCodec {
    private CloudCodec() {}

    /** Reads the machine types, from the cloud or as the state service keeps them. */
    public static List<MachineType> readMachineTypes(Map<String, Object> m) {
        List<MachineType> out = new ArrayList<>();
        for (Object o : Fields.getList(m, "builds")) {
            Map<String, Object> b = Fields.asMap(o);
            String name = Fields.getString(b, "name");
            if (name == null) {
                continue;
            }
            List<String> zones = Fields.getStrings(b, "sites");
            out.add(new MachineType(
                    name,
                    new Resources(
                            Fields.getDouble(b, "vcpus", 0),
                            Fields.getDouble(b, "cards", 0),
                            Fields.getDouble(b, "ramGb", 0)),
                    Fields.getDouble(b, "cacheGb", 0),
                    Fields.getDouble(b, "fetchGbPerS", 1),
                    Fields.getDouble(b, "price", 1),
                    Fields.getDouble(b, "marketPrice", Fields.getDouble(b, "price", 1)),
                    Fields.getDouble(b, "bootS", 60),
                    zones == null ? List.of() : List.copyOf(zones)));
        }
        return out;
    }

    /** The catalogue as kept in the state service, for nodes that start while the cloud is down. */
    public static Map<String, Object> writeMachineTypes(List<MachineType> types) {
        List<Object> l = new ArrayList<>();
        for (MachineType t : types) {
            Map<String, Object> b = new LinkedHashMap<>();
            b.put("name", t.name());
            b.put("vcpus", t.capacity().cpus());
            b.put("cards", t.capacity().gpus());
            b.put("ramGb", t.capacity().ramGb());
            b.put("cacheGb", t.imageCacheGb());
            b.put("fetchGbPerS", t.fetchGbPerS());
            b.put("price", t.onDemandPricePerHour());
            b.put("marketPrice", t.spotPricePerHour());
            b.put("bootS", t.bootS());
            b.put("sites", t.zones());
            l.add(b);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("builds", l);
        return m;
    }

    /** The body of a rental request. */
    public static Map<String, Object> rentalRequest(RentalRequest r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hire", r.name());
        m.put("build", r.type());
        m.put("site", r.zone());
        m.put("loaners", r.spot());
        m.put("howMany", (long) r.count());
        return m;
    }

    /** The names of the machines that a rental has brought. */
    public static List<String> rentedNames(Map<String, Object> m) {
        List<String> l = Fields.getStrings(m, "rigs");
        return l == null ? List.of() : l;
    }

    /** The body of a request to return machines. */
    public static Map<String, Object> returnRequest(List<String> names) {
        return Map.of("rigs", names);
    }

    /** The machines of one page of the list. */
    public static List<ListedMachine> listedMachines(Map<String, Object> m) {
        List<ListedMachine> out = new ArrayList<>();
        for (Object o : Fields.getList(m, "rigs")) {
            Map<String, Object> r = Fields.asMap(o);
            String name = Fields.getString(r, "nameId");
            if (name == null) {
                continue;
            }
            ListedMachine.Status s =
                    switch (Fields.getString(r, "status", "")) {
                        case "booting" -> ListedMachine.Status.BOOTING;
                        case "failed" -> ListedMachine.Status.FAILED;
                        default -> ListedMachine.Status.RUNNING;
                    };
            out.add(new ListedMachine(
                    name,
                    Fields.getString(r, "address"),
                    Fields.getString(r, "build", ""),
                    Fields.getString(r, "site", ""),
                    Fields.getBoolean(r, "loaners"),
                    s,
                    Fields.getDouble(r, "ageS", 0)));
        }
        return out;
    }

    /** Whether another page of the list follows. */
    public static boolean hasNextPage(Map<String, Object> m) {
        return Fields.getBoolean(m, "hasNext");
    }
}

package org.mountlug.cloud;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.model.Resources;
import org.mountlug.core.scale.Listed;
import org.mountlug.core.scale.Rental;
import org.mountlug.wire.Fields;

/** The cloud's messages; the only place that knows their field names. */
public final class CloudCodec {
    private CloudCodec() {}

    /** Reads the machine types, from the cloud or as the state service keeps them. */
    public static List<MachineType> catalogue(Map<String, Object> m) {
        List<MachineType> out = new ArrayList<>();
        for (Object o : Fields.list(m, "builds")) {
            Map<String, Object> b = Fields.map(o);
            String name = Fields.str(b, "name");
            if (name == null) {
                continue;
            }
            List<String> zones = Fields.strings(b, "sites");
            out.add(new MachineType(
                    name,
                    new Resources(Fields.dec(b, "vcpus", 0), Fields.dec(b, "cards", 0), Fields.dec(b, "ramGb", 0)),
                    Fields.dec(b, "cacheGb", 0),
                    Fields.dec(b, "fetchGbPerS", 1),
                    Fields.dec(b, "price", 1),
                    Fields.dec(b, "marketPrice", Fields.dec(b, "price", 1)),
                    Fields.dec(b, "bootS", 60),
                    zones == null ? List.of() : List.copyOf(zones)));
        }
        return out;
    }

    /** The catalogue as kept in the state service, for nodes that start while the cloud is down. */
    public static Map<String, Object> catalogue(List<MachineType> types) {
        List<Object> l = new ArrayList<>();
        for (MachineType t : types) {
            Map<String, Object> b = new LinkedHashMap<>();
            b.put("name", t.name());
            b.put("vcpus", t.size().cpus());
            b.put("cards", t.size().gpus());
            b.put("ramGb", t.size().ramGb());
            b.put("cacheGb", t.cacheGb());
            b.put("fetchGbPerS", t.fetchGbPerS());
            b.put("price", t.price());
            b.put("marketPrice", t.spotPrice());
            b.put("bootS", t.bootS());
            b.put("sites", t.zones());
            l.add(b);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("builds", l);
        return m;
    }

    /** The body of a rental request. */
    public static Map<String, Object> rent(Rental r) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hire", r.name());
        m.put("build", r.type());
        m.put("site", r.zone());
        m.put("loaners", r.spot());
        m.put("howMany", (long) r.count());
        return m;
    }

    /** The names of the machines that a rental has brought. */
    public static List<String> rented(Map<String, Object> m) {
        List<String> l = Fields.strings(m, "rigs");
        return l == null ? List.of() : l;
    }

    /** The body of a request to return machines. */
    public static Map<String, Object> release(List<String> names) {
        return Map.of("rigs", names);
    }

    /** The machines of one page of the list. */
    public static List<Listed> listed(Map<String, Object> m) {
        List<Listed> out = new ArrayList<>();
        for (Object o : Fields.list(m, "rigs")) {
            Map<String, Object> r = Fields.map(o);
            String name = Fields.str(r, "nameId");
            if (name == null) {
                continue;
            }
            Listed.Status s =
                    switch (Fields.str(r, "status", "")) {
                        case "booting" -> Listed.Status.BOOTING;
                        case "failed" -> Listed.Status.FAILED;
                        default -> Listed.Status.RUNNING;
                    };
            out.add(new Listed(
                    name,
                    Fields.str(r, "address"),
                    Fields.str(r, "build", ""),
                    Fields.str(r, "site", ""),
                    Fields.bool(r, "loaners"),
                    s,
                    Fields.dec(r, "ageS", 0)));
        }
        return out;
    }

    /** Whether another page of the list follows. */
    public static boolean more(Map<String, Object> m) {
        return Fields.bool(m, "hasNext");
    }
}

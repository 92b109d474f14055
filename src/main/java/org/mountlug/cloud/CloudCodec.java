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

/** Encodes and decodes the messages of the cloud; the only class that knows their field names. */
public final class CloudCodec {
    private CloudCodec() {}

    /** Reads machine types, as sent by the cloud or as stored in the state service. */
    public static List<MachineType> readMachineTypes(Map<String, Object> message) {
        List<MachineType> types = new ArrayList<>();
        for (Object element : Fields.getList(message, "builds")) {
            Map<String, Object> type = Fields.asMap(element);
            String name = Fields.getString(type, "name");
            if (name == null) {
                continue;
            }
            List<String> zones = Fields.getStrings(type, "sites");
            types.add(new MachineType(
                    name,
                    new Resources(
                            Fields.getDouble(type, "vcpus", 0),
                            Fields.getDouble(type, "cards", 0),
                            Fields.getDouble(type, "ramGb", 0)),
                    Fields.getDouble(type, "cacheGb", 0),
                    Fields.getDouble(type, "fetchGbPerS", 1),
                    Fields.getDouble(type, "price", 1),
                    Fields.getDouble(type, "marketPrice", Fields.getDouble(type, "price", 1)),
                    Fields.getDouble(type, "bootS", 60),
                    zones == null ? List.of() : List.copyOf(zones)));
        }
        return types;
    }

    /** Returns machine types as stored in the state service for controllers that start while the cloud's API is down. */
    public static Map<String, Object> writeMachineTypes(List<MachineType> types) {
        List<Object> elements = new ArrayList<>();
        for (MachineType type : types) {
            Map<String, Object> element = new LinkedHashMap<>();
            element.put("name", type.name());
            element.put("vcpus", type.capacity().cpus());
            element.put("cards", type.capacity().gpus());
            element.put("ramGb", type.capacity().ramGb());
            element.put("cacheGb", type.imageCacheGb());
            element.put("fetchGbPerS", type.fetchGbPerS());
            element.put("price", type.onDemandPricePerHour());
            element.put("marketPrice", type.spotPricePerHour());
            element.put("bootS", type.bootS());
            element.put("sites", type.zones());
            elements.add(element);
        }
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("builds", elements);
        return message;
    }

    /** Returns the body of a rental request. */
    public static Map<String, Object> rentalRequest(RentalRequest rental) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("hire", rental.name());
        message.put("build", rental.type());
        message.put("site", rental.zone());
        message.put("loaners", rental.spot());
        message.put("howMany", (long) rental.count());
        return message;
    }

    /** Returns the names of the rented machines in the response to a rental. */
    public static List<String> rentedNames(Map<String, Object> message) {
        List<String> names = Fields.getStrings(message, "rigs");
        return names == null ? List.of() : names;
    }

    /** Returns the body of a request to return machines. */
    public static Map<String, Object> returnRequest(List<String> names) {
        return Map.of("rigs", names);
    }

    /** Whether the message holds a page of the machine list; one that was cut off may hold nothing, which is no empty list. */
    public static boolean hasMachineList(Map<String, Object> message) {
        return message.get("rigs") instanceof List;
    }

    /** Returns the machines on one page of the machine list. */
    public static List<ListedMachine> listedMachines(Map<String, Object> message) {
        List<ListedMachine> machines = new ArrayList<>();
        for (Object element : Fields.getList(message, "rigs")) {
            Map<String, Object> machine = Fields.asMap(element);
            String name = Fields.getString(machine, "nameId");
            if (name == null) {
                continue;
            }
            ListedMachine.Status status =
                    switch (Fields.getString(machine, "status", "")) {
                        case "booting" -> ListedMachine.Status.BOOTING;
                        case "failed" -> ListedMachine.Status.FAILED;
                        default -> ListedMachine.Status.RUNNING;
                    };
            machines.add(new ListedMachine(
                    name,
                    Fields.getString(machine, "address"),
                    Fields.getString(machine, "build", ""),
                    Fields.getString(machine, "site", ""),
                    Fields.getBoolean(machine, "loaners"),
                    status,
                    Fields.getDouble(machine, "ageS", 0)));
        }
        return machines;
    }

    /** Whether another page of the machine list follows. */
    public static boolean hasNextPage(Map<String, Object> message) {
        return Fields.getBoolean(message, "hasNext");
    }
}

package org.mountlug.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.Order;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.TaskState;
import org.mountlug.wire.Fields;

/** Workers' messages; the only place that knows their field names. */
public final class AgentCodec {
    private AgentCodec() {}

    /** Reads a report, or returns null if it lacks what every report has. */
    public static Report report(Map<String, Object> m) {
        String rig = Fields.str(m, "rig");
        if (rig == null || !(m.get("stint") instanceof Number) || !(m.get("tick") instanceof Number)) {
            return null;
        }
        List<Object> raw = Fields.list(m, "pieces");
        List<Report.Item> items = new ArrayList<>(raw.size());
        for (Object o : raw) {
            Map<String, Object> t = Fields.map(o);
            String piece = Fields.str(t, "piece", "");
            int slash = piece.lastIndexOf('/');
            if (slash < 0) {
                continue;
            }
            int task;
            try {
                task = Integer.parseInt(piece.substring(slash + 1));
            } catch (NumberFormatException e) {
                continue;
            }
            items.add(new Report.Item(
                    piece.substring(0, slash),
                    task,
                    Fields.num(t, "try", 0),
                    state(Fields.str(t, "status", "")),
                    cause(Fields.str(t, "cause", "")),
                    Fields.bool(t, "saved")));
        }
        return new Report(
                rig,
                Fields.str(m, "address"),
                Fields.str(m, "build", ""),
                Fields.str(m, "site", ""),
                Fields.bool(m, "loaners"),
                Fields.num(m, "stint", 0),
                Fields.num(m, "tick", 0),
                Fields.num(m, "baton", 0),
                Fields.dec(m, "recallS", Double.NaN),
                items);
    }

    private static TaskState state(String s) {
        return switch (s) {
            case "fetching" -> TaskState.FETCHING;
            case "gathering" -> TaskState.WAITING;
            case "saving" -> TaskState.SAVING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.RUNNING; // an unknown state occupies its place like a running one
        };
    }

    private static Cause cause(String s) {
        return switch (s) {
            case "done" -> Cause.DONE;
            case "halted" -> Cause.STOPPED;
            case "peers" -> Cause.PEERS;
            case "incomplete" -> Cause.INCOMPLETE;
            case "error" -> Cause.ERROR;
            case "full" -> Cause.FULL;
            case "busy" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            default -> Cause.NONE;
        };
    }

    /** The body that answers a worker's report. */
    public static Map<String, Object> answer(long token, List<Order> orders) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("orders", orders(orders));
        return m;
    }

    /** The body of a direct command, bound to one session of the worker. */
    public static Map<String, Object> command(long token, long session, List<Order> orders) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("stint", session);
        m.put("orders", orders(orders));
        return m;
    }

    private static List<Object> orders(List<Order> orders) {
        List<Object> l = new ArrayList<>(orders.size());
        for (Order o : orders) {
            Map<String, Object> c = new LinkedHashMap<>();
            c.put(
                    "verb",
                    switch (o.verb()) {
                        case START -> "start";
                        case STOP -> "kill";
                        case FORGET -> "clear";
                    });
            c.put("piece", o.task());
            c.put("try", o.attempt());
            if (o.verb() == Order.Verb.STOP) {
                c.put("leewayS", o.leewayS());
            }
            l.add(c);
        }
        return l;
    }
}

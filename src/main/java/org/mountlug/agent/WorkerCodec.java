package org.mountlug.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Report;
import org.mountlug.wire.Fields;

/** Workers' messages; the only place that knows their field names. */
public final class WorkerCodec {
    private WorkerCodec() {}

    /** Reads a report, or returns null if it lacks what every report has. */
    public static Report readReport(Map<String, Object> m) {
        String rig = Fields.getString(m, "rig");
        if (rig == null || !(m.get("stint") instanceof Number) || !(m.get("tick") instanceof Number)) {
            return null;
        }
        List<Object> raw = Fields.getList(m, "pieces");
        List<Report.AttemptStatus> items = new ArrayList<>(raw.size());
        for (Object o : raw) {
            Map<String, Object> t = Fields.asMap(o);
            String piece = Fields.getString(t, "piece", "");
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
            items.add(new Report.AttemptStatus(
                    piece.substring(0, slash),
                    task,
                    Fields.getLong(t, "try", 0),
                    state(Fields.getString(t, "status", "")),
                    cause(Fields.getString(t, "cause", "")),
                    Fields.getBoolean(t, "saved")));
        }
        return new Report(
                rig,
                Fields.getString(m, "address"),
                Fields.getString(m, "build", ""),
                Fields.getString(m, "site", ""),
                Fields.getBoolean(m, "loaners"),
                Fields.getLong(m, "stint", 0),
                Fields.getLong(m, "tick", 0),
                Fields.getLong(m, "baton", 0),
                Fields.getDouble(m, "recallS", Double.NaN),
                items);
    }

    private static AttemptState state(String s) {
        return switch (s) {
            case "fetching" -> AttemptState.FETCHING;
            case "gathering" -> AttemptState.WAITING_FOR_GANG;
            case "saving" -> AttemptState.SAVING;
            case "exited" -> AttemptState.EXITED;
            default -> AttemptState.RUNNING; // an unknown state occupies its place like a running one
        };
    }

    private static ExitCause cause(String s) {
        return switch (s) {
            case "done" -> ExitCause.DONE;
            case "halted" -> ExitCause.STOPPED;
            case "peers" -> ExitCause.PEERS;
            case "incomplete" -> ExitCause.INCOMPLETE;
            case "error" -> ExitCause.ERROR;
            case "full" -> ExitCause.FULL;
            case "busy" -> ExitCause.BUSY;
            case "unknown" -> ExitCause.UNKNOWN;
            default -> ExitCause.NONE;
        };
    }

    /** The body that answers a worker's report. */
    public static Map<String, Object> writeReportResponse(long token, List<Command> orders) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("orders", orders(orders));
        return m;
    }

    /** The body of a direct command, bound to one session of the worker. */
    public static Map<String, Object> writeCommand(long token, long session, List<Command> orders) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", token);
        m.put("stint", session);
        m.put("orders", orders(orders));
        return m;
    }

    private static List<Object> orders(List<Command> orders) {
        List<Object> l = new ArrayList<>(orders.size());
        for (Command o : orders) {
            Map<String, Object> c = new LinkedHashMap<>();
            c.put(
                    "verb",
                    switch (o.verb()) {
                        case START -> "start";
                        case STOP -> "kill";
                        case FORGET -> "clear";
                    });
            c.put("piece", o.taskName());
            c.put("try", o.attempt());
            if (o.verb() == Command.Verb.STOP) {
                c.put("leewayS", o.gracePeriodS());
            }
            l.add(c);
        }
        return l;
    }
}

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

/** Encodes and decodes the messages of workers; the only class that knows their field names. */
public final class WorkerCodec {
    private WorkerCodec() {}

    /**
     * Reads a report, or returns null if it lacks the machine's name, the session or the sequence number. Attempts without a
     * valid task name are left out.
     */
    public static Report readReport(Map<String, Object> message) {
        String machine = Fields.getString(message, "rig");
        if (machine == null || !(message.get("stint") instanceof Number) || !(message.get("tick") instanceof Number)) {
            return null;
        }
        List<Object> elements = Fields.getList(message, "pieces");
        List<Report.AttemptStatus> attempts = new ArrayList<>(elements.size());
        for (Object element : elements) {
            Map<String, Object> attempt = Fields.asMap(element);
            String taskName = Fields.getString(attempt, "piece", "");
            int slash = taskName.lastIndexOf('/');
            if (slash < 0) {
                continue;
            }
            int task;
            try {
                task = Integer.parseInt(taskName.substring(slash + 1));
            } catch (NumberFormatException e) {
                continue;
            }
            attempts.add(new Report.AttemptStatus(
                    taskName.substring(0, slash),
                    task,
                    Fields.getLong(attempt, "try", 0),
                    readState(Fields.getString(attempt, "status", "")),
                    readCause(Fields.getString(attempt, "cause", "")),
                    Fields.getBoolean(attempt, "saved")));
        }
        return new Report(
                machine,
                Fields.getString(message, "address"),
                Fields.getString(message, "build", ""),
                Fields.getString(message, "site", ""),
                Fields.getBoolean(message, "loaners"),
                Fields.getLong(message, "stint", 0),
                Fields.getLong(message, "tick", 0),
                Fields.getLong(message, "baton", 0),
                Fields.getDouble(message, "recallS", Double.NaN),
                attempts);
    }

    private static AttemptState readState(String name) {
        return switch (name) {
            case "fetching" -> AttemptState.FETCHING;
            case "gathering" -> AttemptState.WAITING_FOR_GANG;
            case "saving" -> AttemptState.SAVING;
            case "exited" -> AttemptState.EXITED;
            default -> AttemptState.RUNNING; // an attempt in an unknown state occupies its machine as well
        };
    }

    private static ExitCause readCause(String name) {
        return switch (name) {
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

    /** Returns the body of the response to a worker's report. */
    public static Map<String, Object> writeReportResponse(long token, List<Command> commands) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("baton", token);
        message.put("orders", writeCommands(commands));
        return message;
    }

    /** Returns the body of a message with direct commands, which only this session of the worker accepts. */
    public static Map<String, Object> writeDirectCommands(long token, long session, List<Command> commands) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("baton", token);
        message.put("stint", session);
        message.put("orders", writeCommands(commands));
        return message;
    }

    private static List<Object> writeCommands(List<Command> commands) {
        List<Object> elements = new ArrayList<>(commands.size());
        for (Command command : commands) {
            Map<String, Object> element = new LinkedHashMap<>();
            element.put(
                    "verb",
                    switch (command.verb()) {
                        case START -> "start";
                        case STOP -> "kill";
                        case FORGET -> "clear";
                    });
            element.put("piece", command.taskName());
            element.put("try", command.attempt());
            if (command.verb() == Command.Verb.STOP) {
                element.put("leewayS", command.gracePeriodS());
            }
            elements.add(element);
        }
        return elements;
    }
}

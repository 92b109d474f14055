package org.mountlug.settings;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.Constants;

/**
 * Whether a machine is large enough for a controller. What cannot be met is said at the start, by the setting's name,
 * and not by an end in the middle of the day that first needs it.
 */
public final class ControllerSizing {
    private ControllerSizing() {}

    /** Sockets that a controller opens or accepts for itself, without any worker. */
    public static int ownSockets(Settings s) {
        return Constants.STATE_CONNECTIONS
                + Constants.WATCH_CONNECTIONS
                + Constants.CLOUD_CONNECTIONS
                + Constants.MAX_DIRECT_COMMANDS
                + s.peers().size() * (1 + Constants.MAX_ACCEPTED_PER_PEER)
                + Constants.USER_CONNECTIONS;
    }

    /** Workers that a leader has sockets for beside its own; each keeps one open. */
    public static int maxWorkers(Settings s) {
        return s.fdLimit() - ownSockets(s) - Constants.OTHER_FILE_DESCRIPTORS;
    }

    /** Connections that may wait to be accepted: all workers come at the same time after a change of leader. */
    public static int backlog(Settings s) {
        return Math.max(Constants.MIN_ACCEPT_BACKLOG, maxWorkers(s));
    }

    /**
     * Says what is worth knowing about the sizes.
     *
     * @param heapMb the most that the heap may take, as the run line has it
     */
    public static List<String> check(Settings s, double heapMb) throws Settings.InvalidSettingException {
        if (maxWorkers(s) < 1) {
            throw new Settings.InvalidSettingException(
                    "cluster.machine_limits.fd_limit",
                    s.fdLimit() + " leaves no socket for workers; " + (ownSockets(s) + Constants.OTHER_FILE_DESCRIPTORS)
                            + " go to the controller itself");
        }
        if (s.memoryLimitMb() > 0 && s.memoryLimitMb() < Constants.MIN_MEMORY_MB) {
            throw new Settings.InvalidSettingException(
                    "cluster.machine_limits.mem_mb",
                    s.memoryLimitMb() + " does not hold a controller, which takes " + Constants.MIN_MEMORY_MB
                            + " MB before its first job");
        }
        List<String> l = new ArrayList<>();
        l.add("sockets for " + maxWorkers(s) + " workers");
        if (s.memoryLimitMb() > 0 && heapMb + Constants.NON_HEAP_MB > s.memoryLimitMb()) {
            l.add("a heap of up to " + Math.round(heapMb) + " MB and " + Constants.NON_HEAP_MB
                    + " MB beside it may pass cluster.machine_limits.mem_mb, " + s.memoryLimitMb());
        }
        return l;
    }
}

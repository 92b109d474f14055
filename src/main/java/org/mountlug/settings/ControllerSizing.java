package org.mountlug.settings;

import java.util.ArrayList;
import java.util.List;
import org.mountlug.Constants;

/**
 * Checks whether a machine is large enough for a controller. If a limit is too low, the start fails with the name of
 * the setting, instead of the controller failing later under the load that first needs more.
 */
public final class ControllerSizing {
    private ControllerSizing() {}

    /** Returns the number of sockets that a controller opens or accepts, not counting those of workers. */
    public static int ownSockets(Settings settings) {
        return Constants.STATE_CONNECTIONS
                + Constants.WATCH_CONNECTIONS
                + Constants.CLOUD_CONNECTIONS
                + Constants.MAX_DIRECT_COMMANDS_IN_FLIGHT
                + settings.peers().size() * (1 + Constants.MAX_ACCEPTED_PER_PEER)
                + Constants.USER_CONNECTIONS;
    }

    /**
     * Returns the number of workers for which a leader has sockets in addition to its own; each worker keeps one open.
     */
    public static int maxWorkers(Settings settings) {
        return settings.fdLimit() - ownSockets(settings) - Constants.OTHER_FILE_DESCRIPTORS;
    }

    /**
     * Returns the number of connections that may wait to be accepted: after a change of leader all workers connect at
     * the same time.
     */
    public static int backlog(Settings settings) {
        return Math.max(Constants.MIN_ACCEPT_BACKLOG, maxWorkers(settings));
    }

    /**
     * Checks the limits of the machine and returns notices about them for the log.
     *
     * @param maxHeapMb the maximum heap size of this process in MB
     * @throws Settings.InvalidSettingException if a limit is too low for a controller
     */
    public static List<String> check(Settings settings, double maxHeapMb) throws Settings.InvalidSettingException {
        if (maxWorkers(settings) < 1) {
            throw new Settings.InvalidSettingException(
                    "cluster.machine_limits.fd_limit",
                    settings.fdLimit() + " file descriptors leave no socket for workers; "
                            + (ownSockets(settings) + Constants.OTHER_FILE_DESCRIPTORS)
                            + " are needed by the controller itself");
        }
        if (settings.memoryLimitMb() > 0 && settings.memoryLimitMb() < Constants.MIN_MEMORY_MB) {
            throw new Settings.InvalidSettingException(
                    "cluster.machine_limits.mem_mb",
                    settings.memoryLimitMb() + " MB is too little for a controller, which needs "
                            + Constants.MIN_MEMORY_MB + " MB before its first job");
        }
        List<String> notices = new ArrayList<>();
        notices.add("sockets for " + maxWorkers(settings) + " workers");
        if (settings.memoryLimitMb() > 0 && maxHeapMb + Constants.NON_HEAP_MB > settings.memoryLimitMb()) {
            notices.add("a heap of up to " + Math.round(maxHeapMb) + " MB and " + Constants.NON_HEAP_MB
                    + " MB of other memory may exceed cluster.machine_limits.mem_mb = " + settings.memoryLimitMb());
        }
        return notices;
    }
}

package org.mountlug.core.zone;

import org.mountlug.Constants;

/**
 * Limits the work that a returning zone gets by a window of starts that may be in progress there at the same time. The window
 * grows by addition while starts succeed and machines keep reporting, and is halved at once when a start is lost or many
 * machines are late (additive increase, multiplicative decrease). So a zone that works well is full again within seconds, and
 * one that does not gets little work.
 */
final class ReturnRamp {
    private final RampSettings settings;
    private double window;
    /** Upper bound of the window: machines that reported in the zone at the last step. */
    private int reportingMachines;

    private double nextStepS = Double.NEGATIVE_INFINITY;
    /** The starts as of the last step; null before the first step of a ramp that was restored. */
    private ZoneStarts previousStarts;

    /** Restores the ramp of an earlier leader. */
    ReturnRamp(RampSettings settings, double window, int reportingMachines) {
        this.settings = settings;
        this.window = window;
        this.reportingMachines = Math.max(1, reportingMachines);
    }

    /** Returns a ramp at its initial window, for a zone with this number of reporting machines and these starts. */
    static ReturnRamp start(RampSettings settings, int reportingMachines, ZoneStarts starts) {
        ReturnRamp ramp = new ReturnRamp(
                settings, RampSettings.atLeastOne(settings.startShare(), reportingMachines), reportingMachines);
        ramp.previousStarts = starts;
        return ramp;
    }

    /**
     * Adapts the window to the starts and the machines since the last step, at most once a second.
     *
     * @param allMachinesKnown whether this leader knows of all machines; if not, a lower number of reporting machines does
     *     not lower the bound of the window
     */
    void step(ZoneCounts counts, ZoneStarts starts, boolean allMachinesKnown, double nowS) {
        if (nowS < nextStepS) {
            return;
        }
        nextStepS = nowS + Constants.Zones.RAMP_STEP_S;
        reportingMachines = Math.max(allMachinesKnown ? 1 : reportingMachines, counts.reporting());
        if (hasFailures(counts, starts)) {
            window = Math.max(1, window / 2);
        } else if (makesProgress(starts)) {
            window += RampSettings.atLeastOne(settings.growShare(), reportingMachines);
        }
        window = Math.min(window, reportingMachines);
        previousStarts = starts;
    }

    private boolean hasFailures(ZoneCounts counts, ZoneStarts starts) {
        boolean startLost = previousStarts != null && starts.lost() > previousStarts.lost();
        return startLost || counts.hasManyLate(Constants.Zones.MAX_LATE_SHARE_IN_RAMP);
    }

    /** Whether starts succeeded since the last step, or none is in progress. */
    private boolean makesProgress(ZoneStarts starts) {
        return previousStarts != null && (starts.succeeded() > previousStarts.succeeded() || starts.inProgress() == 0);
    }

    /** Returns the number of starts that may be in progress. */
    double window() {
        return window;
    }

    /** Whether the window has reached its upper bound, so that the ramp limits nothing any more. */
    boolean isFull() {
        return window >= reportingMachines;
    }

    /** Returns the number of image downloads that may be in progress. */
    int maxDownloads() {
        return RampSettings.atLeastOne(settings.downloadsShare(), reportingMachines);
    }
}

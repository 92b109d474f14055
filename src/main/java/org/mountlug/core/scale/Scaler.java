package org.mountlug.core.scale;

import java.util.List;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.zone.ZoneMonitor;

/** Decides which machines to rent and to return, and which tasks to stop on machines that are being drained. */
public final class Scaler {
    private final RentalPlanner rentalPlanner;
    private final ReturnPlanner returnPlanner;
    private final MachineDrainer drainer;

    /**
     * Creates a scaler for the machines of this cluster.
     *
     * @param leaseS seconds of a worker's lease
     * @param reportS seconds between two reports of a worker
     * @param idleKeepS seconds for which an idle machine is kept
     * @param spotRisk factor on spot prices for the work lost when a spot machine is reclaimed
     */
    public Scaler(
            Cluster cluster,
            ZoneMonitor zones,
            Objectives objectives,
            double leaseS,
            double reportS,
            double idleKeepS,
            double spotRisk) {
        BootHistory bootHistory = new BootHistory(cluster);
        ServiceDemand services = new ServiceDemand(cluster);
        rentalPlanner = new RentalPlanner(cluster, objectives, leaseS, spotRisk, bootHistory, zones, services);
        returnPlanner = new ReturnPlanner(cluster, leaseS, reportS, idleKeepS, bootHistory, zones, services);
        drainer = new MachineDrainer(cluster);
    }

    /** Records that the cloud has no more machines in this pool for now; returns false if that was known already. */
    public boolean recordRefused(RentalRequest rental, double nowS) {
        return rentalPlanner.recordRefused(rental, nowS);
    }

    /** Records that the cloud rented all requested machines; returns whether the pool had been recorded as refused. */
    public boolean recordFulfilled(RentalRequest rental) {
        return rentalPlanner.recordFulfilled(rental);
    }

    /** Returns the rental requests to send now. */
    public List<RentalRequest> planRentals(double nowS, double nowEpochS) {
        return rentalPlanner.planRentals(nowS, nowEpochS);
    }

    /** Returns the names of the machines to return now, and marks these machines as being returned. */
    public List<String> planReturns(double nowS, double nowEpochS) {
        return returnPlanner.planReturns(nowS, nowEpochS);
    }

    /** Stops tasks on machines that are being drained, early enough to save their checkpoints. */
    public void drain(double nowS) {
        drainer.drain(nowS);
    }
}

package org.mountlug.core.scale;

import java.util.List;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Objectives;
import org.mountlug.core.zone.ZoneMonitor;

/** The size of the fleet: what to rent, what to return, and what to stop on machines that are about to go. */
public final class Scaler {
    private final RentalPlanner rentals;
    private final ReturnPlanner returns;
    private final MachineDrainer drain;

    /** Decides for the machines of this cluster; {@code spotRisk} is a factor on spot prices. */
    public Scaler(
            Cluster cluster,
            ZoneMonitor zones,
            Objectives aims,
            double leaseS,
            double reportS,
            double idleKeepS,
            double spotRisk) {
        BootHistory boots = new BootHistory(cluster);
        ServiceDemand services = new ServiceDemand(cluster);
        rentals = new RentalPlanner(cluster, aims, leaseS, spotRisk, boots, zones, services);
        returns = new ReturnPlanner(cluster, leaseS, reportS, idleKeepS, boots, zones, services);
        drain = new MachineDrainer(cluster);
    }

    /** The cloud has no more machines of this kind for now; tells whether that is news. */
    public boolean recordRefused(RentalRequest rental, double nowS) {
        return rentals.recordRefused(rental, nowS);
    }

    /** The cloud has rented all that was asked of this kind; tells whether that is news. */
    public boolean recordServed(RentalRequest rental) {
        return rentals.recordServed(rental);
    }

    /** What to rent now. */
    public List<RentalRequest> planRentals(double nowS, double nowEpochS) {
        return rentals.planRentals(nowS, nowEpochS);
    }

    /** Machines to return now; marks them. */
    public List<String> planReturns(double nowS, double nowEpochS) {
        return returns.planReturns(nowS, nowEpochS);
    }

    /** Stops what runs on machines that are about to go, in time to save it. */
    public void drain(double nowS) {
        drain.drain(nowS);
    }
}

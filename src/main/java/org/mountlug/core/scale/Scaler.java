package org.mountlug.core.scale;

import java.util.List;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.model.Aims;
import org.mountlug.core.zone.ZoneWatch;

/** The size of the fleet: what to rent, what to return, and what to stop on machines that are about to go. */
public final class Scaler {
    private final RentalPlanner rentals;
    private final ReturnPlanner returns;
    private final MachineDrain drain;

    /** Decides for the machines of this cluster; {@code spotRisk} is a factor on spot prices. */
    public Scaler(
            Cluster cluster,
            ZoneWatch zones,
            Aims aims,
            double leaseS,
            double reportS,
            double idleKeepS,
            double spotRisk) {
        BootHistory boots = new BootHistory(cluster);
        ServiceDemand services = new ServiceDemand(cluster);
        rentals = new RentalPlanner(cluster, aims, leaseS, spotRisk, boots, zones, services);
        returns = new ReturnPlanner(cluster, leaseS, reportS, idleKeepS, boots, zones, services);
        drain = new MachineDrain(cluster);
    }

    /** The cloud has no more machines of this kind for now; tells whether that is news. */
    public boolean refused(Rental rental, double nowS) {
        return rentals.refused(rental, nowS);
    }

    /** The cloud has rented all that was asked of this kind; tells whether that is news. */
    public boolean served(Rental rental) {
        return rentals.served(rental);
    }

    /** What to rent now. */
    public List<Rental> rentals(double nowS, double nowEpochS) {
        return rentals.rentals(nowS, nowEpochS);
    }

    /** Machines to return now; marks them. */
    public List<String> returns(double nowS, double nowEpochS) {
        return returns.returns(nowS, nowEpochS);
    }

    /** Stops what runs on machines that are about to go, in time to save it. */
    public void drain(double nowS) {
        drain.drain(nowS);
    }
}

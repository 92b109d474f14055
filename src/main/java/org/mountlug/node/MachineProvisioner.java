package org.mountlug.node;

import io.undertow.util.Methods;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.cloud.CloudCodec;
import org.mountlug.core.model.MachineType;
import org.mountlug.core.scale.ListedMachine;
import org.mountlug.core.scale.RentalRequest;
import org.mountlug.core.scale.Scaler;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the leader's calls to the cloud: reads the machine types and the machine list, and rents and returns machines.
 * Rentals keep within a share of the cloud's rate limit.
 */
final class MachineProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
    /** The cloud's error for a rental from a capacity pool without free machines. */
    private static final String NO_CAPACITY_ERROR = "no capacity";
    /** The cloud's error for every request during an outage of its API. */
    private static final String OUTAGE_ERROR = "trouble";

    private final LeaderTerm term;
    private final HttpTransport cloud;
    private final Scaler scaler;
    private final TokenBucket writeRateLimit;
    private final TokenBucket rentalRateLimit;
    private final Metrics metrics;

    private final ArrayDeque<RentalRequest> pendingRentals = new ArrayDeque<>();
    private int rentalsInFlight;
    private boolean rentalRetryScheduled;
    private double rentNotBeforeS;
    /** Whether the last answered rental was refused for another reason than a lack of machines. */
    private boolean cloudUnavailable;

    private boolean returnInFlight;
    private boolean listInFlight;
    private boolean hasMachineList;
    private double nextListS;
    private double nextMachineTypesS;
    private boolean machineTypesStored;

    MachineProvisioner(LeaderTerm term, Scaler scaler, TokenBucket writeRateLimit, Metrics metrics) {
        this.term = term;
        this.cloud = term.environment.cloud();
        this.scaler = scaler;
        this.writeRateLimit = writeRateLimit;
        this.metrics = metrics;
        double rentalsPerS = term.environment.settings().cloudRps() * Constants.RENT_CALL_SHARE;
        rentalRateLimit = new TokenBucket(rentalsPerS, rentalsPerS * Constants.CLOUD_BURST_S);
    }

    /** Reads the machine types and the machine list if they are due. */
    void tick(double nowS) {
        if (nowS >= nextMachineTypesS) {
            readMachineTypes(nowS);
        }
        if (nowS >= nextListS && !listInFlight) {
            nextListS = nowS + Constants.MACHINE_LIST_INTERVAL_MS / 1000.0;
            listMachines(nowS, null, new ArrayList<>());
        }
    }

    /** Rents and returns the machines that the scaler has chosen. */
    void rentAndReturn(double nowS, double nowEpochS) {
        if (nowS < rentNotBeforeS) {
            pendingRentals.clear();
        }
        // Before it has read the machine list, a new leader does not know of idle machines and would rent too many.
        if (hasMachineList && pendingRentals.isEmpty() && rentalsInFlight == 0 && nowS >= rentNotBeforeS) {
            pendingRentals.addAll(scaler.planRentals(nowS, nowEpochS));
            sendPendingRentals();
        }
        if (!returnInFlight) {
            returnMachines(scaler.planReturns(nowS, nowEpochS));
        }
    }

    private void readMachineTypes(double nowS) {
        nextMachineTypesS = nowS + Constants.MACHINE_TYPES_INTERVAL_MS / 1000.0;
        cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, response -> {
            if (term.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                nextMachineTypesS = term.nowS() + Constants.MACHINE_TYPES_RETRY_S;
                return;
            }
            boolean firstTime = term.cluster.types().isEmpty();
            List<MachineType> types = CloudCodec.readMachineTypes(response.body());
            term.cluster.setMachineTypes(types);
            if (firstTime || !machineTypesStored) {
                storeMachineTypes(types);
            }
        });
    }

    /**
     * Stores the machine types for controllers that start while the cloud's API is down. A list too large for one value is
     * not stored.
     */
    private void storeMachineTypes(List<MachineType> types) {
        Map<String, Object> value = CloudCodec.writeMachineTypes(types);
        if (Json.length(value) > term.maxValueChars() || !writeRateLimit.tryAcquire(term.nowS(), 1)) {
            return;
        }
        term.environment
                .state()
                .commit(
                        term.newFencedTransaction().put(StateKeys.MACHINE_TYPES, value),
                        response -> machineTypesStored = response.status() == 200);
    }

    /**
     * Requests the next page of the machine list, and applies the list after its last page.
     *
     * @param requestedS monotonic time in seconds at which the first page was requested
     */
    private void listMachines(double requestedS, String after, List<ListedMachine> machines) {
        listInFlight = true;
        String path = "/hosts?" + (after == null ? "" : "after=" + after + "&") + "page=500";
        cloud.call(Methods.GET, path, null, Constants.CLOUD_TIMEOUT_MS, response -> {
            listInFlight = false;
            if (term.hasEnded() || response.status() != 200 || !CloudCodec.hasMachineList(response.body())) {
                return;
            }
            machines.addAll(CloudCodec.listedMachines(response.body()));
            if (CloudCodec.hasNextPage(response.body()) && !machines.isEmpty()) {
                listMachines(requestedS, machines.get(machines.size() - 1).name(), machines);
            } else {
                applyMachineList(machines, requestedS);
            }
        });
    }

    /** Applies the machine list to the cluster, and returns machines that failed to the cloud. */
    private void applyMachineList(List<ListedMachine> machines, double requestedS) {
        hasMachineList = true;
        double maxLagS = term.environment.settings().cloudListLagS() * Constants.MAX_LIST_LAG_FACTOR;
        List<String> failedMachines = term.cluster.applyMachineList(machines, requestedS - maxLagS, term.nowS());
        if (!failedMachines.isEmpty()) {
            cloud.call(
                    Methods.POST,
                    "/hosts/release",
                    CloudCodec.returnRequest(failedMachines),
                    Constants.CLOUD_TIMEOUT_MS,
                    response -> {});
        }
    }

    private void sendPendingRentals() {
        while (!term.hasEnded() && rentalsInFlight < Constants.MAX_RENTALS_IN_FLIGHT && !pendingRentals.isEmpty()) {
            if (!rentalRateLimit.tryAcquire(term.nowS(), 1)) {
                scheduleRentalRetry();
                return;
            }
            rentalsInFlight++;
            sendRental(pendingRentals.poll(), 0);
        }
    }

    private void scheduleRentalRetry() {
        if (rentalRetryScheduled) {
            return;
        }
        rentalRetryScheduled = true;
        Runnable retry = () -> {
            rentalRetryScheduled = false;
            sendPendingRentals();
        };
        term.runLater(retry, Constants.RENTAL_RATE_LIMIT_RETRY_MS);
    }

    private void sendRental(RentalRequest rental, int retries) {
        cloud.call(Methods.POST, "/hosts", CloudCodec.rentalRequest(rental), Constants.CLOUD_TIMEOUT_MS, response -> {
            if (term.hasEnded()) {
                return;
            }
            if (response.isMissing() && retries < Constants.MAX_RENTAL_RETRIES) {
                // A repeated request with the same rental name returns the same machines.
                term.runLater(() -> sendRental(rental, retries + 1), Constants.RENTAL_RETRY_MS);
                return;
            }
            if (response.status() == 200) {
                recordRented(rental, CloudCodec.rentedNames(response.body()));
            } else if (response.status() == 503 || response.status() == 429) {
                recordRefused(rental, String.valueOf(response.body().get("error")), response.status());
            }
            rentalsInFlight--;
            sendPendingRentals();
        });
    }

    private void recordRented(RentalRequest rental, List<String> names) {
        double nowS = term.nowS();
        for (String name : names) {
            term.cluster.addRentedMachine(name, rental.type(), rental.zone(), rental.spot(), nowS);
        }
        LOG.info("rented {} of {} requested machines: {}", names.size(), rental.count(), rental.pool());
        LOG.debug("rented machines {}", names);
        setCloudUnavailable(false);
        if (names.size() < rental.count()) {
            recordExhaustedPool(rental, nowS);
        } else if (scaler.recordFulfilled(rental)) {
            LOG.info("capacity pool {} has machines again", rental.pool());
        }
    }

    private void recordRefused(RentalRequest rental, String error, int status) {
        metrics.countRefusedRental();
        setCloudUnavailable(!NO_CAPACITY_ERROR.equals(error));
        if (!OUTAGE_ERROR.equals(error) && status == 503) {
            recordExhaustedPool(rental, term.nowS());
        } else {
            // The cloud's API is down, or the controllers have exceeded its rate limit.
            rentNotBeforeS = term.nowS() + Constants.CLOUD_ERROR_PAUSE_S;
        }
    }

    /** Logs when the cloud's API begins to refuse every rental, and when it accepts rentals again. */
    private void setCloudUnavailable(boolean unavailable) {
        if (unavailable != cloudUnavailable) {
            LOG.info(unavailable ? "the cloud's API refuses rentals" : "the cloud's API accepts rentals again");
        }
        cloudUnavailable = unavailable;
    }

    /** Records that the cloud has no more machines in the rental's capacity pool, and drops the pending rentals from it. */
    private void recordExhaustedPool(RentalRequest rental, double nowS) {
        if (scaler.recordRefused(rental, nowS)) {
            LOG.info("capacity pool {} is exhausted for now", rental.pool());
        }
        pendingRentals.removeIf(other -> other.pool().equals(rental.pool()));
    }

    private void returnMachines(List<String> names) {
        if (names.isEmpty()) {
            return;
        }
        returnInFlight = true;
        List<String> returned = new ArrayList<>(names);
        cloud.call(
                Methods.POST,
                "/hosts/release",
                CloudCodec.returnRequest(returned),
                Constants.CLOUD_TIMEOUT_MS,
                response -> {
                    returnInFlight = false;
                    if (term.hasEnded() || response.status() != 200) {
                        return;
                    }
                    for (String name : returned) {
                        term.cluster.recordMachineGone(name, term.nowS(), "returned");
                    }
                });
    }
}

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

/** The leader's calls to the cloud: the catalogue, the list of machines, rentals and returns, within the cloud's budget. */
final class MachineProvisioner {
    private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
    /** Error of a request for machines of which there are none. */
    private static final String NO_CAPACITY = "no capacity";
    /** Error of every request while the interface is down. */
    private static final String TROUBLE = "trouble";

    private final LeaderTerm term;
    private final HttpTransport cloud;
    private final Scaler scaler;
    private final TokenBucket writes;
    private final TokenBucket calls;
    private final Metrics metrics;

    private final ArrayDeque<RentalRequest> rentals = new ArrayDeque<>();
    private int rentalsOpen;
    private boolean rentLater;
    private double rentAgainS;
    /** Whether the interface refused the last rental for another reason than a lack of machines. */
    private boolean trouble;

    private boolean returning;
    private boolean listing;
    private boolean listed;
    private double nextListS;
    private double nextCatalogueS;
    private boolean catalogueKept;

    MachineProvisioner(LeaderTerm term, Scaler scaler, TokenBucket writes, Metrics metrics) {
        this.term = term;
        this.cloud = term.environment.cloud();
        this.scaler = scaler;
        this.writes = writes;
        this.metrics = metrics;
        double rps = term.environment.settings().cloudRps() * Constants.RENT_CALL_SHARE;
        calls = new TokenBucket(rps, rps * Constants.CLOUD_BURST_S);
    }

    /** Reads the catalogue and the list whenever it is time. */
    void tick(double nowS) {
        if (nowS >= nextCatalogueS) {
            readCatalogue(nowS);
        }
        if (nowS >= nextListS && !listing) {
            list(nowS, null, new ArrayList<>());
        }
    }

    /** Rents and returns what the scaler decides. */
    void rentAndReturn(double nowS, double nowEpochS) {
        if (nowS < rentAgainS) {
            rentals.clear();
        }
        // Until the first list a new leader does not know of the idle machines, and would rent them all again.
        if (listed && rentals.isEmpty() && rentalsOpen == 0 && nowS >= rentAgainS) {
            rentals.addAll(scaler.planRentals(nowS, nowEpochS));
            rentNext();
        }
        if (!returning) {
            release(scaler.planReturns(nowS, nowEpochS));
        }
    }

    private void readCatalogue(double nowS) {
        nextCatalogueS = nowS + Constants.MACHINE_TYPES_INTERVAL_MS / 1000.0;
        cloud.call(Methods.GET, "/flavors", null, Constants.CLOUD_TIMEOUT_MS, answer -> {
            if (term.hasEnded()) {
                return;
            }
            if (answer.status() != 200) {
                nextCatalogueS = term.nowS() + Constants.CATALOGUE_RETRY_S;
                return;
            }
            boolean first = term.cluster.types().isEmpty();
            List<MachineType> types = CloudCodec.readMachineTypes(answer.body());
            term.cluster.setMachineTypes(types);
            if (first || !catalogueKept) {
                keepCatalogue(types);
            }
        });
    }

    /** A help for nodes that start while the cloud is down; one too large for a value is not kept. */
    private void keepCatalogue(List<MachineType> types) {
        Map<String, Object> kept = CloudCodec.writeMachineTypes(types);
        if (Json.length(kept) > term.maxValueChars() || !writes.tryAcquire(term.nowS(), 1)) {
            return;
        }
        term.environment
                .state()
                .commit(
                        term.newFencedTransaction().put(StateKeys.CATALOGUE, kept),
                        answer -> catalogueKept = answer.status() == 200);
    }

    private void list(double nowS, String after, List<ListedMachine> sofar) {
        listing = true;
        nextListS = nowS + Constants.MACHINE_LIST_INTERVAL_MS / 1000.0;
        String path = "/hosts?" + (after == null ? "" : "after=" + after + "&") + "page=500";
        cloud.call(Methods.GET, path, null, Constants.CLOUD_TIMEOUT_MS, answer -> {
            listing = false;
            if (term.hasEnded() || answer.status() != 200) {
                return;
            }
            sofar.addAll(CloudCodec.listedMachines(answer.body()));
            if (CloudCodec.hasNextPage(answer.body()) && !sofar.isEmpty()) {
                list(nowS, sofar.get(sofar.size() - 1).name(), sofar);
            } else {
                listed(sofar);
            }
        });
    }

    private void listed(List<ListedMachine> all) {
        listed = true;
        double lagS = term.environment.settings().cloudListLagS();
        List<String> failed = term.cluster.applyMachineList(all, lagS, term.nowS());
        if (!failed.isEmpty()) {
            cloud.call(
                    Methods.POST,
                    "/hosts/release",
                    CloudCodec.returnRequest(failed),
                    Constants.CLOUD_TIMEOUT_MS,
                    answer -> {});
        }
    }

    private void rentNext() {
        while (!term.hasEnded() && rentalsOpen < Constants.MAX_OPEN_RENTALS && !rentals.isEmpty()) {
            if (!calls.tryAcquire(term.nowS(), 1)) {
                rentWhenBudgetAllows();
                return;
            }
            rentalsOpen++;
            rent(rentals.poll(), 0);
        }
    }

    private void rentWhenBudgetAllows() {
        if (rentLater) {
            return;
        }
        rentLater = true;
        Runnable again = () -> {
            rentLater = false;
            rentNext();
        };
        term.runLater(again, Constants.RENTAL_RATE_LIMIT_RETRY_MS);
    }

    private void rent(RentalRequest rental, int tries) {
        cloud.call(Methods.POST, "/hosts", CloudCodec.rentalRequest(rental), Constants.CLOUD_TIMEOUT_MS, answer -> {
            if (term.hasEnded()) {
                return;
            }
            if (answer.isMissing() && tries < Constants.MAX_RENTAL_RETRIES) {
                // The same name gives the same machines.
                term.runLater(() -> rent(rental, tries + 1), Constants.RENTAL_RETRY_MS);
                return;
            }
            if (answer.status() == 200) {
                rented(rental, CloudCodec.rentedNames(answer.body()));
            } else if (answer.status() == 503 || answer.status() == 429) {
                refused(rental, String.valueOf(answer.body().get("error")), answer.status());
            }
            rentalsOpen--;
            rentNext();
        });
    }

    private void rented(RentalRequest rental, List<String> names) {
        double nowS = term.nowS();
        for (String name : names) {
            term.cluster.addRentedMachine(name, rental.type(), rental.zone(), rental.spot(), nowS);
        }
        LOG.info("rented {} of {} {}", names.size(), rental.count(), rental.pool());
        LOG.debug("rented {}", names);
        noteTrouble(false);
        if (names.size() < rental.count()) {
            exhausted(rental, nowS);
        } else if (scaler.recordServed(rental)) {
            LOG.info("{} to be had again", rental.pool());
        }
    }

    private void refused(RentalRequest rental, String error, int status) {
        metrics.countRefusedRental();
        noteTrouble(!NO_CAPACITY.equals(error));
        if (!TROUBLE.equals(error) && status == 503) {
            exhausted(rental, term.nowS());
        } else {
            // The whole interface is down or we ask too much.
            rentAgainS = term.nowS() + Constants.CLOUD_ERROR_PAUSE_S;
        }
    }

    /** Notes in the log when the interface begins to refuse everything, and when that is over. */
    private void noteTrouble(boolean now) {
        if (now != trouble) {
            LOG.info(now ? "the cloud's interface refuses requests" : "the cloud's interface serves again");
        }
        trouble = now;
    }

    /** There are no more of this kind now, so what else was to be asked of it is not. */
    private void exhausted(RentalRequest rental, double nowS) {
        if (scaler.recordRefused(rental, nowS)) {
            LOG.info("no more {} for now", rental.pool());
        }
        rentals.removeIf(other -> other.pool().equals(rental.pool()));
    }

    private void release(List<String> names) {
        if (names.isEmpty()) {
            return;
        }
        returning = true;
        List<String> returned = new ArrayList<>(names);
        cloud.call(
                Methods.POST,
                "/hosts/release",
                CloudCodec.returnRequest(returned),
                Constants.CLOUD_TIMEOUT_MS,
                answer -> {
                    returning = false;
                    if (term.hasEnded() || answer.status() != 200) {
                        return;
                    }
                    for (String name : returned) {
                        term.cluster.recordMachineGone(name, term.nowS(), "returned");
                    }
                });
    }
}

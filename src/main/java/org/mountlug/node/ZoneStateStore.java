package org.mountlug.node;

import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.zone.ZoneMonitor;
import org.mountlug.core.zone.ZoneSnapshot;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.store.ZoneCodec;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the zones' state in the state service, so that a new leader goes on with a loss or a return where the last one
 * stopped. Rounds wait until it has been read. It is written while it changes, seldom, and only once every controller
 * understands it.
 */
final class ZoneStateStore {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneStateStore.class);

    private final LeaderTerm term;
    private final TokenBucket writes;
    private final ZoneMonitor zones;
    private final AnnouncedVersions versions;
    private boolean ready;
    /** What is stored without its times, which move on by themselves; null if nothing ever was. */
    private List<Stored> stored;

    private boolean writing;
    private double nextWriteS;

    /** The part of a zone's state for whose change it is written again. */
    private record Stored(String zone, String state, int losses, int displaced, long window) {
        static List<Stored> of(List<ZoneSnapshot> snapshots) {
            return snapshots.stream()
                    .map(zone -> new Stored(
                            zone.zone(),
                            zone.state().name(),
                            zone.recentLosses(),
                            zone.maxSilentMachines(),
                            Math.round(zone.window())))
                    .toList();
        }
    }

    ZoneStateStore(LeaderTerm term, TokenBucket writes, ZoneMonitor zones, AnnouncedVersions versions) {
        this.term = term;
        this.writes = writes;
        this.zones = zones;
        this.versions = versions;
        ready = !zones.enabled();
        if (!ready) {
            load();
        }
    }

    /** Whether the zones are as the last leader left them, so that rounds may begin. */
    boolean isReady() {
        return ready;
    }

    private void load() {
        term.environment.state().get(StateKeys.ZONES, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.hasEnded()) {
                return;
            }
            if (answer.status() == 200) {
                restore(answer);
            } else if (answer.status() != 404) {
                term.runLater(this::load, Constants.READ_BACK_RETRY_MS);
                return;
            }
            ready = true;
        });
    }

    private void restore(PooledHttpClient.Response answer) {
        long nowMs = term.environment.epochMs().getAsLong();
        List<ZoneSnapshot> snapshots = ZoneCodec.read(Fields.asMap(answer.body().get("v")), nowMs);
        zones.restore(snapshots, term.nowS());
        stored = Stored.of(snapshots);
        for (ZoneSnapshot zone : snapshots) {
            LOG.info("zone {}: {}, as the last leader left it", zone.zone(), zone.state());
        }
    }

    /** Writes the zones' state if it has changed and it is time. */
    void tick(double nowS) {
        if (!ready || !zones.enabled() || writing || nowS < nextWriteS || !versions.allReadZones()) {
            return;
        }
        List<ZoneSnapshot> snapshots = zones.snapshots(nowS);
        List<Stored> changed = Stored.of(snapshots);
        boolean same = stored == null ? changed.isEmpty() : stored.equals(changed);
        if (same || !term.isLeaseHeld(nowS) || !writes.tryAcquire(nowS, 1)) {
            return;
        }
        nextWriteS = nowS + Constants.Zones.STORE_INTERVAL_S;
        writing = true;
        Map<String, Object> record =
                ZoneCodec.write(snapshots, term.environment.epochMs().getAsLong(), term.maxValueChars());
        term.environment.state().commit(term.newFencedTransaction().put(StateKeys.ZONES, record), answer -> {
            writing = false;
            if (answer.status() == 200) {
                stored = changed;
            }
        });
    }
}

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
 * Stores the zones' state in the state service, so that a new leader continues a zone's loss or return where the previous
 * leader stopped. Rounds wait until the stored state has been read. Changes are written at most once in
 * {@link Constants.Zones#STORE_INTERVAL_S}, and only once every controller can read the record.
 */
final class ZoneStateStore {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneStateStore.class);

    private final LeaderTerm term;
    private final TokenBucket writeRateLimit;
    private final ZoneMonitor zoneMonitor;
    private final AnnouncedVersions versions;
    private boolean restored;
    /** The stored state of the zones, without times, which change all the time; null if nothing has been stored. */
    private List<StoredZone> stored;

    private boolean writeInFlight;
    private double nextWriteS;

    /**
     * The part of a zone's state whose change causes a write.
     *
     * @param window the limit on the starts in progress in a returning zone
     */
    private record StoredZone(String zone, String state, int recentLosses, int maxSilentMachines, long window) {
        static List<StoredZone> of(List<ZoneSnapshot> snapshots) {
            return snapshots.stream()
                    .map(zone -> new StoredZone(
                            zone.zone(),
                            zone.state().name(),
                            zone.recentLosses(),
                            zone.maxSilentMachines(),
                            Math.round(zone.window())))
                    .toList();
        }
    }

    ZoneStateStore(LeaderTerm term, TokenBucket writeRateLimit, ZoneMonitor zoneMonitor, AnnouncedVersions versions) {
        this.term = term;
        this.writeRateLimit = writeRateLimit;
        this.zoneMonitor = zoneMonitor;
        this.versions = versions;
        restored = !zoneMonitor.isEnabled();
        if (!restored) {
            load();
        }
    }

    /** Whether the zones' state of the previous leader has been restored, so that rounds may begin. */
    boolean isReady() {
        return restored;
    }

    private void load() {
        term.environment.state().get(StateKeys.ZONES, Constants.STATE_TIMEOUT_MS, response -> {
            if (term.hasEnded()) {
                return;
            }
            if (response.status() == 200) {
                restore(response);
            } else if (response.status() != 404) {
                term.runLater(this::load, Constants.READ_BACK_RETRY_MS);
                return;
            }
            restored = true;
        });
    }

    private void restore(PooledHttpClient.Response response) {
        long nowMs = term.environment.epochMs().getAsLong();
        List<ZoneSnapshot> snapshots =
                ZoneCodec.read(Fields.asMap(response.body().get("v")), nowMs);
        zoneMonitor.restore(snapshots, term.nowS());
        stored = StoredZone.of(snapshots);
        for (ZoneSnapshot zone : snapshots) {
            LOG.info("zone {}: {}, restored from the previous leader", zone.zone(), zone.state());
        }
    }

    /** Writes the zones' state if it has changed and the last write is long enough ago. */
    void tick(double nowS) {
        if (!restored || !zoneMonitor.isEnabled() || writeInFlight || nowS < nextWriteS || !versions.allReadZones()) {
            return;
        }
        List<ZoneSnapshot> snapshots = zoneMonitor.snapshots(nowS);
        List<StoredZone> current = StoredZone.of(snapshots);
        boolean unchanged = stored == null ? current.isEmpty() : stored.equals(current);
        if (unchanged || !term.isLeaseHeld(nowS) || !writeRateLimit.tryAcquire(nowS, 1)) {
            return;
        }
        nextWriteS = nowS + Constants.Zones.STORE_INTERVAL_S;
        writeInFlight = true;
        Map<String, Object> record =
                ZoneCodec.write(snapshots, term.environment.epochMs().getAsLong(), term.maxValueChars());
        term.environment.state().commit(term.newFencedTransaction().put(StateKeys.ZONES, record), response -> {
            writeInFlight = false;
            if (response.status() == 200) {
                stored = current;
            }
        });
    }
}

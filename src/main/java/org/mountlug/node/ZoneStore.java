package org.mountlug.node;

import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.zone.ZoneSnapshot;
import org.mountlug.core.zone.ZoneWatch;
import org.mountlug.store.Budget;
import org.mountlug.store.StateKeys;
import org.mountlug.store.ZoneCodec;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the zones' state in the state service, so that a new leader goes on with a loss or a return where the last one
 * stopped. Rounds wait until it has been read. It is written while it changes, seldom, and only once every controller
 * understands it.
 */
final class ZoneStore {
    private static final Logger LOG = LoggerFactory.getLogger(ZoneStore.class);

    private final LeaderTerm term;
    private final Budget writes;
    private final ZoneWatch zones;
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
                            zone.losses(),
                            zone.displaced(),
                            Math.round(zone.window())))
                    .toList();
        }
    }

    ZoneStore(LeaderTerm term, Budget writes, ZoneWatch zones, AnnouncedVersions versions) {
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
    boolean ready() {
        return ready;
    }

    private void load() {
        term.environment.state().get(StateKeys.ZONES, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.ended()) {
                return;
            }
            if (answer.status() == 200) {
                restore(answer);
            } else if (answer.status() != 404) {
                term.later(this::load, Constants.READ_BACK_RETRY_MS);
                return;
            }
            ready = true;
        });
    }

    private void restore(Http.Answer answer) {
        long nowMs = term.environment.epochMs().getAsLong();
        List<ZoneSnapshot> snapshots = ZoneCodec.read(Fields.map(answer.body().get("v")), nowMs);
        zones.restore(snapshots, term.nowS());
        stored = Stored.of(snapshots);
        for (ZoneSnapshot zone : snapshots) {
            LOG.info("zone {}: {}, as the last leader left it", zone.zone(), zone.state());
        }
    }

    /** Writes the zones' state if it has changed and it is time. */
    void tick(double nowS) {
        if (!ready || !zones.enabled() || writing || nowS < nextWriteS || !versions.readZones()) {
            return;
        }
        List<ZoneSnapshot> snapshots = zones.snapshots(nowS);
        List<Stored> changed = Stored.of(snapshots);
        boolean same = stored == null ? changed.isEmpty() : stored.equals(changed);
        if (same || !term.proven(nowS) || !writes.take(nowS, 1)) {
            return;
        }
        nextWriteS = nowS + Constants.Zones.STORE_S;
        writing = true;
        Map<String, Object> record =
                ZoneCodec.write(snapshots, term.environment.epochMs().getAsLong(), term.valueChars());
        term.environment.state().commit(term.change().put(StateKeys.ZONES, record), answer -> {
            writing = false;
            if (answer.status() == 200) {
                stored = changed;
            }
        });
    }
}

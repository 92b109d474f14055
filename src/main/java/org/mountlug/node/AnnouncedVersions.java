package org.mountlug.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.mountlug.Constants;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateKeys;
import org.mountlug.store.VersionCodec;
import org.mountlug.wire.Fields;

/**
 * The record formats that every configured controller has announced to read. Only announcements in the state service
 * count and not responses of peers, as only stored announcements are valid for the next leader too. A format that all
 * controllers read remains so for the rest of the term.
 */
final class AnnouncedVersions {
    private final LeaderTerm term;
    private boolean partsReadByAll;
    private boolean zonesReadByAll;
    private boolean reading;
    private double nextReadS;

    AnnouncedVersions(LeaderTerm term) {
        this.term = term;
    }

    /** Reads the announcements again while some controller has not announced all formats. */
    void tick(double nowS) {
        if (partsReadByAll && zonesReadByAll || reading || nowS < nextReadS) {
            return;
        }
        reading = true;
        nextReadS = nowS + Constants.VERSION_CHECK_INTERVAL_MS / 1000.0;
        term.environment.state().list(StateKeys.VERSIONS, null, response -> {
            reading = false;
            if (!term.hasEnded() && response.status() == 200) {
                applyAnnouncements(response.body());
            }
        });
    }

    private void applyAnnouncements(Map<String, Object> body) {
        Map<String, Map<String, Object>> announced = new HashMap<>();
        for (Object element : Fields.getList(body, "rows")) {
            Map<String, Object> row = Fields.asMap(element);
            String label = Fields.getString(row, "k").substring(StateKeys.VERSIONS.length());
            announced.put(label, Fields.asMap(row.get("v")));
        }
        partsReadByAll |= haveAllAnnounced(announced, VersionCodec::readsParts);
        zonesReadByAll |= haveAllAnnounced(announced, VersionCodec::readsZones);
    }

    private boolean haveAllAnnounced(Map<String, Map<String, Object>> announced, Predicate<Map<String, Object>> reads) {
        Settings settings = term.environment.settings();
        return reads.test(announced.getOrDefault(settings.label(), Map.of()))
                && settings.peers().stream()
                        .allMatch(peer -> reads.test(announced.getOrDefault(peer.label(), Map.of())));
    }

    /** Whether all controllers read record parts. */
    boolean allReadParts() {
        return partsReadByAll;
    }

    /** Whether all controllers read the record of the zones' state. */
    boolean allReadZones() {
        return zonesReadByAll;
    }
}

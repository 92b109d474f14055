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
 * What every controller of the settings is durably known to understand, by what each has written itself. Not by what a peer
 * says: only what is durable still holds for the next leader. Once true in a term it stays so.
 */
final class AnnouncedVersions {
    private final LeaderTerm term;
    private boolean parts;
    private boolean zones;
    private boolean reading;
    private double nextReadS;

    AnnouncedVersions(LeaderTerm term) {
        this.term = term;
    }

    /** Looks again while some controller is not known to understand everything. */
    void tick(double nowS) {
        if (parts && zones || reading || nowS < nextReadS) {
            return;
        }
        reading = true;
        nextReadS = nowS + Constants.VERSION_CHECK_INTERVAL_MS / 1000.0;
        term.environment.state().list(StateKeys.VERSIONS, null, answer -> {
            reading = false;
            if (!term.hasEnded() && answer.status() == 200) {
                read(answer.body());
            }
        });
    }

    private void read(Map<String, Object> body) {
        Map<String, Map<String, Object>> announced = new HashMap<>();
        for (Object element : Fields.getList(body, "rows")) {
            Map<String, Object> row = Fields.asMap(element);
            String label = Fields.getString(row, "k").substring(StateKeys.VERSIONS.length());
            announced.put(label, Fields.asMap(row.get("v")));
        }
        parts |= all(announced, VersionCodec::readsParts);
        zones |= all(announced, VersionCodec::readsZones);
    }

    private boolean all(Map<String, Map<String, Object>> announced, Predicate<Map<String, Object>> understands) {
        Settings settings = term.environment.settings();
        return understands.test(announced.getOrDefault(settings.label(), Map.of()))
                && settings.peers().stream()
                        .allMatch(peer -> understands.test(announced.getOrDefault(peer.label(), Map.of())));
    }

    /** Whether all read records in parts. */
    boolean allReadParts() {
        return parts;
    }

    /** Whether all read the record of the zones' state. */
    boolean allReadZones() {
        return zones;
    }
}

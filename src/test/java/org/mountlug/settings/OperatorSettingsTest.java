package org.mountlug.settings;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.wire.Fields;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;

/**
 * Tests the operators' settings. Each case is checked both by the code that the server and the {@code check} command
 * run and by the published schema, and both must agree; only relations between two fields cannot be expressed in the
 * schema.
 */
class OperatorSettingsTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static Object yaml(String text) {
        return new Load(LoadSettings.builder().build()).loadFromString(text);
    }

    private static boolean schemaAccepts(Object content) throws IOException {
        try (InputStream in = OperatorSettings.class.getResourceAsStream("operators.schema.json")) {
            JsonSchema schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in);
            JsonNode node = JSON.valueToTree(content == null ? Map.of() : content);
            return schema.validate(node).isEmpty();
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "zones: {}",
                "zones:",
                "zones: {enabled: false}",
                "zones: {displacement: [partitur, korrektur]}",
                "zones: {displacement: []}",
                "zones: {least_machines: 1, suspect_share: 0.4, lost_share: 1, clear_share: 0, return_share: 0.01}",
                "zones: {lost_after_s: 0.1, return_after_s: 3600, return_after_most_s: 3600, calm_s: 60}",
                "zones: {ramp: {start_share: 0.01, grow_share: 1, downloads_share: 0.3}}",
                "zones: {calm_s: null}",
                "admission: {}",
                "admission:",
                "admission: {enabled: false, stale_view_s: 12}",
                "admission: {stale_view_s: 60}",
                "shares: {warband: 2}",
                "log: {format: timed}",
                "machines: {idle_keep_s: 0, spot_risk: 100}"
            })
    void validFilesAreAccepted(String text) throws IOException {
        Map<String, Object> content = Fields.asMap(yaml(text));
        assertDoesNotThrow(() -> OperatorSettings.of(content));
        assertTrue(schemaAccepts(content));
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "zone: {} | zone",
                "zones: 5 | zones",
                "zones: {enable: true} | zones.enable",
                "zones: {enabled: maybe} | zones.enabled",
                "zones: {displacement: partitur} | zones.displacement",
                "zones: {displacement: [partitur, partitur]} | zones.displacement",
                "zones: {displacement: [3]} | zones.displacement",
                "zones: {displacement: ['']} | zones.displacement",
                "zones: {least_machines: 0} | zones.least_machines",
                "zones: {least_machines: 2.5} | zones.least_machines",
                "zones: {least_machines: many} | zones.least_machines",
                "zones: {suspect_share: 0} | zones.suspect_share",
                "zones: {lost_share: 1.1} | zones.lost_share",
                "zones: {clear_share: -0.1} | zones.clear_share",
                "zones: {return_share: 0} | zones.return_share",
                "zones: {lost_after_s: 0} | zones.lost_after_s",
                "zones: {return_after_s: -4} | zones.return_after_s",
                "zones: {return_after_most_s: 3601} | zones.return_after_most_s",
                "zones: {calm_s: '120'} | zones.calm_s",
                "zones: {calm_s: .nan} | zones.calm_s",
                "zones: {ramp: fast} | zones.ramp",
                "zones: {ramp: {speed: 1}} | zones.ramp.speed",
                "zones: {ramp: {start_share: 0}} | zones.ramp.start_share",
                "zones: {ramp: {grow_share: 2}} | zones.ramp.grow_share",
                "zones: {ramp: {downloads_share: []}} | zones.ramp.downloads_share",
                "admission: true | admission",
                "admission: {enabled: often} | admission.enabled",
                "admission: {stale_view_s: 0} | admission.stale_view_s",
                "admission: {stale_view_s: -15} | admission.stale_view_s",
                "admission: {stale_view_s: .inf} | admission.stale_view_s",
                "admission: {stale_view_s: .nan} | admission.stale_view_s",
                "admission: {shares: {a: 1}} | admission.shares",
                "shares: {warband: -1} | shares.warband",
                "shares: [a] | shares",
                "shares: {warband: 0} | shares.warband",
                "shares: {warband: heavy} | shares.warband",
                "log: {format: json} | log.format",
                "log: {colour: true} | log.colour",
                "machines: {idle_keep_s: -1} | machines.idle_keep_s",
                "machines: {spot_risk: 0.5} | machines.spot_risk"
            })
    void invalidFilesAreRejectedWithTheFieldName(String text, String field) throws IOException {
        Map<String, Object> content = Fields.asMap(yaml(text));
        Settings.InvalidSettingException error =
                assertThrows(Settings.InvalidSettingException.class, () -> OperatorSettings.of(content));
        assertTrue(error.getMessage().startsWith(field + ": "), error.getMessage());
        assertFalse(error.getMessage().contains("\n"));
        if (!text.contains(".nan")) { // JSON cannot represent NaN
            assertFalse(schemaAccepts(content), "the schema must reject the file too");
        }
    }

    /**
     * Thresholds in the wrong order are rejected. This is a relation between fields, which the schema cannot express.
     */
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
            delimiter = '|',
            value = {
                "zones: {clear_share: 0.5} | zones.clear_share",
                "zones: {suspect_share: 0.9} | zones.suspect_share",
                "zones: {suspect_share: 0.8} | zones.suspect_share",
                "zones: {return_share: 0.1} | zones.return_share",
                "zones: {return_after_s: 61} | zones.return_after_s"
            })
    void thresholdsInWrongOrderAreRejected(String text, String field) {
        Settings.InvalidSettingException error = assertThrows(
                Settings.InvalidSettingException.class, () -> OperatorSettings.of(Fields.asMap(yaml(text))));
        assertTrue(error.getMessage().startsWith(field + ": "), error.getMessage());
    }

    @Test
    void displacementClassWithoutObjectiveIsRejected() throws Settings.InvalidSettingException {
        OperatorSettings operators = OperatorSettings.of(Fields.asMap(yaml("zones: {displacement: [partitur]}")));
        List<Settings.Objective> objectives = List.of(new Settings.Objective("wait", "partitur", 12, 0.75));
        assertDoesNotThrow(() -> operators.checkAgainst(objectives));
        Settings.InvalidSettingException error =
                assertThrows(Settings.InvalidSettingException.class, () -> operators.checkAgainst(List.of()));
        assertTrue(error.getMessage().startsWith("zones.displacement: partitur"), error.getMessage());
    }

    /** The defaults in the schema are the effective ones. */
    @Test
    void schemaHasTheEffectiveDefaults() throws IOException {
        JsonNode zones;
        try (InputStream in = OperatorSettings.class.getResourceAsStream("operators.schema.json")) {
            zones = JSON.readTree(in).at("/properties/zones/properties");
        }
        Map<String, Object> defaults = ZoneSettingsReader.effectiveValues(ZoneSettings.defaults());
        defaults.forEach((field, value) -> {
            JsonNode schemaDefault = zones.at("/" + field.replace(".", "/properties/") + "/default");
            if (value instanceof Number number) {
                assertEquals(number.doubleValue(), schemaDefault.asDouble(), field);
            }
        });
        assertEquals(14, defaults.size());
    }

    @Test
    void deploymentFileIsValidAndEnablesZones() throws Settings.InvalidSettingException {
        OperatorSettings operators = OperatorSettings.load(Path.of("deploy/operators.yaml"));
        assertTrue(operators.zones().enabled());
        assertTrue(operators.effectiveValues().contains("zones.enabled = true"));
        assertFalse(OperatorSettings.defaults().zones().enabled());
    }
}

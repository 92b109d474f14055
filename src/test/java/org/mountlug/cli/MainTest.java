package org.mountlug.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that every command ends with the same exit code if the settings are invalid. */
class MainTest {
    @TempDir
    private Path directory;

    @ParameterizedTest(name = "{0} with platform settings {1} and operator settings {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "check | label = 5 | zones: {}",
                "serve | label = 5 | zones: {}",
                "check | label = 'c' | admission: {stale_view_s: -1}",
                "serve | label = 'c' | admission: {stale_view_s: -1}",
                "check | label = 'c' | shares: {warband: 0}"
            })
    void invalidSettingsExitWithCode2InEveryCommand(String command, String platformToml, String operatorsYaml)
            throws IOException {
        Path platformFile = Files.writeString(directory.resolve("settings.toml"), platformToml);
        Path operatorsFile = Files.writeString(directory.resolve("operators.yaml"), operatorsYaml);
        assertEquals(2, Main.run(new String[] {
            command, "--config", platformFile.toString(), "--operators", operatorsFile.toString()
        }));
    }
}

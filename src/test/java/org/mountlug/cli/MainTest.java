package org.mountlug.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Exit codes: one for bad settings, whichever command reads them. */
class MainTest {
    @TempDir
    private Path directory;

    @ParameterizedTest(name = "{0} with {1} and {2}")
    @CsvSource(
            delimiter = '|',
            value = {
                "check | label = 5 | zones: {}",
                "serve | label = 5 | zones: {}",
                "check | label = 'c' | admission: {stale_view_s: -1}",
                "serve | label = 'c' | admission: {stale_view_s: -1}",
                "check | label = 'c' | shares: {warband: 0}"
            })
    void badSettingsEndWithTheSameCode(String command, String platform, String operators) throws IOException {
        Path config = Files.writeString(directory.resolve("settings.toml"), platform);
        Path own = Files.writeString(directory.resolve("operators.yaml"), operators);
        assertEquals(2, Main.run(new String[] {command, "--config", config.toString(), "--operators", own.toString()}));
    }
}

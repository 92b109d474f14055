package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The core must do no input or output and read no clock: it gets time and randomness as arguments and returns decisions as
 * values.
 */
class CoreImportsTest {
    private static final Path CORE = Path.of("src/main/java/org/mountlug/core");
    private static final Pattern FORBIDDEN = Pattern.compile(
            "import (static )?(java\\.(io|net|nio|util\\.(Random|concurrent|Timer))|javax\\.|io\\.undertow|org\\.xnio|org\\.slf4j"
                    + "|com\\.fasterxml|org\\.mountlug\\.(agent|api|cli|cloud|node|peer|settings|store|wire)\\b).*"
                    + "|.*\\b(System\\.(nanoTime|currentTimeMillis|out|err)|Math\\.random|Instant\\.now|new Thread)\\b.*");

    @Test
    void coreUsesNeitherInputOutputNorClocks() throws IOException {
        List<String> violations = new ArrayList<>();
        int fileCount = 0;
        try (Stream<Path> paths = Files.walk(CORE)) {
            for (Path path : paths.filter(p -> p.toString().endsWith(".java")).toList()) {
                fileCount++;
                for (String line : Files.readAllLines(path)) {
                    if (FORBIDDEN.matcher(line).matches()) {
                        violations.add(path.getFileName() + ": " + line.strip());
                    }
                }
            }
        }
        assertTrue(fileCount > 30, "the core has more than 30 source files where this test looks for them");
        assertEquals(List.of(), violations);
    }
}

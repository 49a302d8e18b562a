package org.turmericspan.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how a directory of YAML files is loaded. */
final class DirectoryLoaderTest {
    @TempDir
    private Path directory;

    private final DirectoryLoader loader = new DirectoryLoader();

    @Test
    void objectsOfAllFilesAreLoadedWithTheirFileName() throws IOException {
        write("b.yaml", "kind: Vm\nname: one\n---\nkind: Vm\nname: two\n");
        write("a.yml", "kind: Vm\nname: three\n");
        write("notes.txt", "not read");

        ObjectSet set = loader.load(directory);

        assertThat(set.faults()).isEmpty();
        assertThat(set.objects()).extracting(ObjectSource::source).containsExactly("a.yml", "b.yaml", "b.yaml");
    }

    @Test
    void everyUnreadableFileIsReportedAndOtherFilesAreLoaded() throws IOException {
        write("a.yaml", "kind: Vm\nkind: Vm\n");
        write("b.yaml", "kind: [");
        write("c.yaml", "kind: Vm\nname: ok\n");
        write("d.yaml", "kind: &k Vm\nname: *k\n");
        Files.write(directory.resolve("e.yaml"), new byte[] {(byte) 0xff, (byte) 0xfe, (byte) 0xc3});

        ObjectSet set = loader.load(directory);

        assertThat(set.faults()).extracting(Fault::source).containsExactly("a.yaml", "b.yaml", "d.yaml", "e.yaml");
        assertThat(set.objects()).hasSize(1);
    }

    @Test
    void emptyDirectoryGivesAFault() {
        assertThat(loader.load(directory).faults()).hasSize(1);
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(directory.resolve(name), text);
    }
}

package org.hyssophitch.core.health;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Fingerprints of requests of any length. */
public class FingerprintTest {

    @DataProvider
    Object[][] contents() {
        return new Object[][] {{10, true}, {1_024, true}, {1_025, false}, {15_000, false}};
    }

    /** News of a crashing search of 2.4 KB were larger than what a host reads, as they held the whole search. */
    @Test(dataProvider = "contents")
    public void fingerprintOfALongRequestFitsIntoADatagram(int length, boolean isWhole) {
        String content = "x".repeat(length);
        String fingerprint = Fingerprint.bounded(content);
        assertTrue(fingerprint.length() <= Fingerprint.MAX_BYTES);
        assertEquals(fingerprint.equals(content), isWhole);
        assertEquals(Fingerprint.bounded(fingerprint), fingerprint);
        assertNotEquals(Fingerprint.bounded("x".repeat(length - 1) + 'y'), fingerprint);
    }

    @Test
    public void lengthIsCountedInBytes() {
        assertTrue(Fingerprint.bounded("\u20ac".repeat(400)).length() < 100);
    }
}

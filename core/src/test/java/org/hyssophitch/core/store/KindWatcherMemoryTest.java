package org.hyssophitch.core.store;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** What a host still holds of a large object after many versions of it. */
public class KindWatcherMemoryTest {

    private static final int VERSIONS = 40;
    private static final int OBJECT_CHARS = 1 << 20;
    private static final long SECOND = 1_000_000;

    /** Hosts that held the earlier versions of a configuration filled their heaps and stopped following it. */
    @Test(dataProvider = "pacings")
    public void earlierVersionsOfAnObjectAreGarbage(WatchPacing pacing) {
        VirtualTimers timers = new VirtualTimers();
        ScriptedSource source = new ScriptedSource();
        KindWatcher<String> watcher = new KindWatcher<>(
                "things", timers, new WatchPlan<>(source, () -> pacing), new SplittableRandom(1), new Ignoring());
        watcher.start();
        source.completeList(1, "a");
        List<WeakReference<String>> versions = new ArrayList<>();
        for (int i = 2; i <= VERSIONS + 1; i++) {
            String content = String.valueOf((char) ('0' + i)).repeat(OBJECT_CHARS);
            versions.add(new WeakReference<>(content));
            source.completeWatch(i, "a", content);
            timers.advance(SECOND);
        }
        System.gc();
        long held = versions.stream().filter(r -> r.get() != null).count();
        assertEquals(held, 1, "versions held");
        assertEquals(watcher.changeLog().objects().size(), 1);
    }

    @DataProvider
    Object[][] pacings() {
        return new Object[][] {
            {WatchPacing.ALONE}, {WatchPacing.RELAY}, {WatchPacing.RELAY_RARE}, {WatchPacing.RELAYED_RARE}
        };
    }

    private static final class Ignoring implements KindWatcher.Listener<String> {

        @Override
        public void onListed(Map<String, StoredObject<String>> objects, boolean hadOutage) {
            // The objects aren't used.
        }

        @Override
        public void onRestored() {
            // The store is never restored.
        }

        @Override
        public void onChanged(List<StoreChanges.Change<String>> changes) {
            // The changes aren't used.
        }

        @Override
        public void onReachabilityChanged(boolean isReachable, String detail) {
            // The store is always reachable.
        }

        @Override
        public void onWatchFailed(WatchFailure failure) {
            throw new AssertionError(failure.toString());
        }
    }
}

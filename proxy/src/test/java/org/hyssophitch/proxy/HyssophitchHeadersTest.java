package org.hyssophitch.proxy;

import java.util.List;
import java.util.function.UnaryOperator;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.hyssophitch.core.statement.ServerStatement;
import org.hyssophitch.core.statement.ServerStatement.RateLimit;
import org.hyssophitch.core.statement.ServerStatement.Wait;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** What backend servers state about themselves in our own headers. */
public class HyssophitchHeadersTest {

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {200, "Load-Limit-Per-Second", "2.5", List.of(new RateLimit(2.5))},
            {503, "Load-Limit-Per-Second", "2.5", List.of(new RateLimit(2.5))},
            {503, "Retry-After", "3", List.of(new Wait(3_000_000))},
            {200, "Retry-After", "3", List.of()},
            {200, "Load-In-Flight", "3", List.of()},
        };
    }

    @Test(dataProvider = "statements")
    public void decodesStatements(int status, String header, String value, List<ServerStatement> expected) {
        HttpHeaders h = new DefaultHttpHeaders().add(header, value);
        assertEquals(new HyssophitchHeaders("h", UnaryOperator.identity()).statements(status, h), expected);
    }
}

# Sets $java and $flags for the programs; sourced by them. Expects $root.
# HYSSOPHITCH_JAVA names the java to use, HYSSOPHITCH_JVM_FLAGS further flags.
java=${HYSSOPHITCH_JAVA:-$("$root/bin/jdk")/bin/java}
flags="-XX:+IgnoreUnrecognizedVMOptions -XX:+UseSerialGC --enable-native-access=ALL-UNNAMED"
QUIET_FROM_VERSION=23
version=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$(dirname "$java")/../release" 2>/dev/null)
# Libraries still use sun.misc.Unsafe; the warning about it would end up among the logs.
[ "${version:-0}" -ge $QUIET_FROM_VERSION ] && flags="$flags --sun-misc-unsafe-memory-access=allow"

# Replaces this shell by a program. usage: launch MODULE MAIN_CLASS FLAGS ARGUMENTS...
launch() {
    local module=$1 main=$2 own=$3
    shift 3
    # shellcheck disable=SC2086
    exec "$java" $flags $own ${HYSSOPHITCH_JVM_FLAGS:-} \
        -cp "$root/$module/target/hyssophitch-$module-0.1.0.jar:$root/$module/target/lib/*" "$main" "$@"
}

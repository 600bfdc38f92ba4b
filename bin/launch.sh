# Starts the Java programs; sourced by their scripts, which set $root.
# HYSSOPHITCH_JAVA sets the java executable, HYSSOPHITCH_JVM_FLAGS additional JVM flags.
java=${HYSSOPHITCH_JAVA:-$("$root/bin/jdk")/bin/java}
flags="-XX:+IgnoreUnrecognizedVMOptions -XX:+UseSerialGC --enable-native-access=ALL-UNNAMED"
UNSAFE_WARNING_VERSION=23
version=$(sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$(dirname "$java")/../release" 2>/dev/null)
# Libraries still use sun.misc.Unsafe, and the warning that newer JVMs print about it would end up in the logs.
[ "${version:-0}" -ge $UNSAFE_WARNING_VERSION ] && flags="$flags --sun-misc-unsafe-memory-access=allow"

# Replaces the shell with a Java program. usage: launch MODULE MAIN_CLASS FLAGS ARGUMENTS...
launch() {
    local module=$1 main=$2 module_flags=$3
    shift 3
    # shellcheck disable=SC2086
    exec "$java" $flags $module_flags ${HYSSOPHITCH_JVM_FLAGS:-} \
        -cp "$root/$module/target/hyssophitch-$module-0.1.0.jar:$root/$module/target/lib/*" "$main" "$@"
}

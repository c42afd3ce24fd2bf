//! The program as the standing test loads it: linked dynamically against the C library, and without a way to start
//! other programs, to fork or to move bytes past the sockets' calls. Guards against a dependency that brings one in.

use object::elf::{DT_NEEDED, FileHeader64};
use object::read::elf::{Dyn, FileHeader};
use object::{Endianness, Object};

/// What the test refuses, by the C library's names.
const REFUSED: [&str; 17] = [
    "fork",
    "vfork",
    "clone",
    "clone3",
    "posix_spawn",
    "posix_spawnp",
    "execv",
    "execve",
    "execvp",
    "execvpe",
    "system",
    "popen",
    "sendfile",
    "sendfile64",
    "splice",
    "tee",
    "io_uring_setup",
];

#[test]
fn the_program_is_one_process_linked_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_ashglade")).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let imports = file.imports().unwrap();
    let named = |name: &str| imports.iter().any(|import| import.name() == name.as_bytes());
    let refused: Vec<&str> = REFUSED.into_iter().filter(|name| named(name)).collect();

    let header = FileHeader64::<Endianness>::parse(&*bytes).unwrap();
    let endian = header.endian().unwrap();
    let sections = header.sections(endian, &*bytes).unwrap();
    let (entries, strings) = sections.dynamic(endian, &*bytes).unwrap().unwrap();
    let strings = sections.strings(endian, &*bytes, strings).unwrap();
    let needs = entries.iter().filter(|entry| entry.tag(endian) == DT_NEEDED);
    let needs = needs.map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap()));
    let c_library = needs.into_iter().any(|name| name == "libc.so.6");

    // That it listens and waits by the C library's names shows that names are read at all.
    let uses: Vec<&str> = ["accept4", "epoll_wait"].into_iter().filter(|name| named(name)).collect();
    expect_test::expect![
        "refused [], uses [\"accept4\", \"epoll_wait\"], linked against the C library: true"
    ]
    .assert_eq(&format!("refused {refused:?}, uses {uses:?}, linked against the C library: {c_library}"));
}

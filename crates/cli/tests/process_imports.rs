//! Imports of the built program. The platform's test bench loads it linked dynamically against the C library,
//! and refuses functions that start other programs, fork, or transfer data without the socket calls. Guards
//! against a dependency that imports such a function.

use object::elf::{DT_NEEDED, FileHeader64};
use object::read::elf::{Dyn, FileHeader};
use object::{Endianness, Object};

/// Functions of the C library that the program must not import.
const FORBIDDEN_IMPORTS: [&str; 17] = [
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
fn the_program_is_linked_against_the_c_library_and_imports_no_forbidden_function() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_ashglade")).unwrap();
    let file = object::File::parse(&*bytes).unwrap();
    let imports = file.imports().unwrap();
    let imports_name = |name: &str| imports.iter().any(|import| import.name() == name.as_bytes());
    let refused: Vec<&str> = FORBIDDEN_IMPORTS.into_iter().filter(|name| imports_name(name)).collect();

    let header = FileHeader64::<Endianness>::parse(&*bytes).unwrap();
    let endian = header.endian().unwrap();
    let sections = header.sections(endian, &*bytes).unwrap();
    let (entries, strings) = sections.dynamic(endian, &*bytes).unwrap().unwrap();
    let strings = sections.strings(endian, &*bytes, strings).unwrap();
    let needed = entries.iter().filter(|entry| entry.tag(endian) == DT_NEEDED);
    let needed = needed.map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap()));
    let c_library = needed.into_iter().any(|name| name == "libc.so.6");

    // Imports that must be present show that the import table is read correctly.
    let used: Vec<&str> = ["accept4", "epoll_wait"].into_iter().filter(|name| imports_name(name)).collect();
    expect_test::expect![
        "refused [], uses [\"accept4\", \"epoll_wait\"], linked against the C library: true"
    ]
    .assert_eq(&format!("refused {refused:?}, uses {used:?}, linked against the C library: {c_library}"));
}
